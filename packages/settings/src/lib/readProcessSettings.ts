import { readFile } from 'node:fs/promises';

import { describeError } from '@endiveferry/base';
import { err, ok, type Result } from 'neverthrow';

import { formatPath, listIssues, type ConfigurationIssue } from './ConfigurationIssue.js';
import { processSettingsSchema, type ProcessSettings } from './processSettings.js';

/**
 * Reads and validates the settings of the daemon.
 *
 * @param file - path of the JSON file
 * @returns the settings, or every issue found in them
 * @public
 */
export async function readProcessSettings(
  file: string,
): Promise<Result<ProcessSettings, readonly ConfigurationIssue[]>> {
  let document: unknown;
  try {
    document = JSON.parse(await readFile(file, 'utf8'));
  } catch (error) {
    return err([{ file, path: '$', reason: describeError(error) }]);
  }
  const checked = processSettingsSchema.safeParse(document);
  if (checked.success) return ok(checked.data);
  return err(
    listIssues(checked.error).map(({ keys, reason }) => ({ file, path: formatPath(keys), reason })),
  );
}
