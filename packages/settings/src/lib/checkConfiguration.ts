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

/** Each removal may make the parent invalid for the next round; few parents require the value. */
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

/** Checks the references of the document that remains when its invalid values are removed. */
function checkValidPart(document: unknown, known: KnownIds): readonly DocumentIssue[] {
  let rest = document;
  for (let round = 0; round < MAX_REMOVAL_ROUNDS; round += 1) {
    const parsed = configurationSchema.safeParse(rest);
    if (parsed.success) return checkReferences(parsed.data, known);
    rest = removeInvalidValues(
      rest,
      listIssues(parsed.error).map(({ keys }) => keys),
    );
  }
  return [];
}

/**
 * Validates a merged document against the schema and checks its references.
 *
 * @param document - the document
 * @param files - the files that were merged, to attribute issues to them; empty for other sources
 * @returns the configuration, or every issue found
 * @public
 */
export function checkConfiguration(
  document: unknown,
  files: readonly SourceFile[] = [],
): Result<Configuration, readonly ConfigurationIssue[]> {
  const known = collectKnownIds(document);
  const parsed = configurationSchema.safeParse(document);
  const issues = parsed.success
    ? checkReferences(parsed.data, known)
    : [...listIssues(parsed.error), ...checkValidPart(document, known)];
  if (parsed.success && issues.length === 0) return ok(parsed.data);
  return err(
    issues.map(({ keys, reason }) => ({
      file: findSourceFile(files, keys),
      path: formatPath(keys),
      reason,
    })),
  );
}

/**
 * Reads, merges and validates a configuration folder.
 *
 * @param folder - path of the folder
 * @returns the configuration, or every issue with the file that has to be corrected
 * @public
 */
export async function readConfiguration(
  folder: string,
): Promise<Result<Configuration, readonly ConfigurationIssue[]>> {
  const merged = await readConfigurationFolder(folder);
  return merged.andThen(({ document, files }) => checkConfiguration(document, files));
}
