import { err, ok, type Result } from 'neverthrow';

import { checkReferences, type DocumentIssue, type KnownIds } from './checkReferences.js';
import { configurationSchema, type Configuration } from './configuration.js';
import { formatPath, listIssues, type ConfigurationIssue } from './ConfigurationIssue.js';
import { removeInvalidValues } from './removeInvalidValues.js';
import {
  findSourceFile,
  readConfigurationFolder,
  type SourceFile,
} from './readConfigurationFolder.js';

/** Each round sets aside one more level above a broken value; documents are not nested deeper. */
const MAX_REMOVAL_ROUNDS = 8;

type Sections = Partial<Record<string, Partial<Record<string, unknown>>>>;

function collectKnownIds(document: unknown): KnownIds {
  const sections = (document ?? {}) as Sections;
  const hasKey = (value: unknown, key: string) =>
    typeof value === 'object' && value !== null && Object.hasOwn(value, key);
  return {
    has: (section, id) => hasKey(sections[section], id),
    hasStage(pipelineId, stageId) {
      const pipelines = sections.pipelines;
      const pipeline = hasKey(pipelines, pipelineId) ? pipelines?.[pipelineId] : undefined;
      return hasKey((pipeline as { stages?: unknown } | undefined)?.stages, stageId);
    },
  };
}

/** Checks the references of what is left when the broken parts are set aside. */
function checkValidPart(document: unknown, known: KnownIds): readonly DocumentIssue[] {
  let rest = document;
  for (let round = 0; round < MAX_REMOVAL_ROUNDS; round += 1) {
    const shape = configurationSchema.safeParse(rest);
    if (shape.success) return checkReferences(shape.data, known);
    rest = removeInvalidValues(
      rest,
      listIssues(shape.error).map(({ keys }) => keys),
    );
  }
  return [];
}

/**
 * Checks a merged document.
 *
 * @param document - the document
 * @param files - the files it was merged from, to name the one to mend; none when it came otherwise
 * @returns the configuration, or every fault
 * @public
 */
export function checkConfiguration(
  document: unknown,
  files: readonly SourceFile[] = [],
): Result<Configuration, readonly ConfigurationIssue[]> {
  const known = collectKnownIds(document);
  const shape = configurationSchema.safeParse(document);
  const faults = shape.success
    ? checkReferences(shape.data, known)
    : [...listIssues(shape.error), ...checkValidPart(document, known)];
  if (shape.success && faults.length === 0) return ok(shape.data);
  return err(
    faults.map(({ keys, reason }) => ({
      file: findSourceFile(files, keys),
      path: formatPath(keys),
      reason,
    })),
  );
}

/**
 * Reads, merges and checks a configuration folder.
 *
 * @param folder - path of the folder
 * @returns the configuration, or every fault with the file to mend
 * @public
 */
export async function readConfiguration(
  folder: string,
): Promise<Result<Configuration, readonly ConfigurationIssue[]>> {
  const merged = await readConfigurationFolder(folder);
  return merged.andThen(({ document, files }) => checkConfiguration(document, files));
}
