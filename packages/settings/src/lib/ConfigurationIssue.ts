import type { z } from 'zod';

/**
 * An error found in the settings of a daemon or in the configuration.
 *
 * @public
 */
export interface ConfigurationIssue {
  /** Name of the file that has to be corrected; `-` when the document was not read from a file. */
  readonly file: string;
  /** JSON path of the invalid value, such as `$.pools.engines.kind`. */
  readonly path: string;
  readonly reason: string;
}

/**
 * Formats a list of keys as a JSON path.
 *
 * @param keys - the keys from the root down
 * @returns the path; keys that are not plain identifiers are quoted
 * @public
 */
export function formatPath(keys: readonly PropertyKey[]): string {
  return keys.reduce<string>((path, key) => {
    if (typeof key === 'number') return `${path}[${key}]`;
    const name = String(key);
    return /^[a-zA-Z_][\w-]*$/.test(name) ? `${path}.${name}` : `${path}[${JSON.stringify(name)}]`;
  }, '$');
}

/**
 * Flattens a Zod error into one issue for each unknown key and each invalid value.
 *
 * @param error - the Zod error
 * @returns for each issue, the keys from the root down to the value, and the reason
 * @internal
 */
export function listIssues(
  error: z.ZodError,
): { readonly keys: readonly PropertyKey[]; readonly reason: string }[] {
  return error.issues.flatMap((issue) => {
    if (issue.code === 'unrecognized_keys') {
      return issue.keys.map((key) => ({ keys: [...issue.path, key], reason: 'unknown key' }));
    }
    const innerIssues = issue.code === 'invalid_key' ? issue.issues : [];
    const reason = innerIssues[0]?.message ?? issue.message;
    return [{ keys: issue.path, reason }];
  });
}

/**
 * Formats an issue as a line of text.
 *
 * @param issue - the issue
 * @returns the file, the path and the reason, separated by colons
 * @public
 */
export function formatConfigurationIssue(issue: ConfigurationIssue): string {
  return `${issue.file}: ${issue.path}: ${issue.reason}`;
}
