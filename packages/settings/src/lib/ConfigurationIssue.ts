import type { z } from 'zod';

/**
 * One thing that is wrong with settings or configuration.
 *
 * @public
 */
export interface ConfigurationIssue {
  /** The file to mend; `-` when the document did not come from a file. */
  readonly file: string;
  /** JSON path of the value, such as `$.pools.engines.kind`. */
  readonly path: string;
  readonly reason: string;
}

/**
 * Builds a JSON path.
 *
 * @param keys - the keys from the root down
 * @returns the path; keys that are no plain names are quoted
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
 * Lists what a validator found, one fault for each unknown key and each wrong value.
 *
 * @param error - the validator's error
 * @returns the places, from the root down, with the reasons
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
 * Formats a fault for people.
 *
 * @param fault - the fault
 * @returns one line: file, path, reason
 * @public
 */
export function formatConfigurationIssue(fault: ConfigurationIssue): string {
  return `${fault.file}: ${fault.path}: ${fault.reason}`;
}
