import { readFile, readdir } from 'node:fs/promises';
import { join } from 'node:path';

import { describeError } from '@endiveferry/base';
import mergePatch from 'json-merge-patch';
import { err, ok, type Result } from 'neverthrow';

import type { ConfigurationIssue } from './ConfigurationIssue.js';

/**
 * A file of a configuration folder, parsed as JSON.
 *
 * @public
 */
export interface SourceFile {
  readonly name: string;
  readonly document: unknown;
}

/**
 * The files of a configuration folder and the document that results from merging them.
 *
 * @public
 */
export interface MergedFolder {
  /** In merge order. */
  readonly files: readonly SourceFile[];
  readonly document: unknown;
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

async function readSourceFile(
  folder: string,
  name: string,
): Promise<Result<SourceFile, ConfigurationIssue>> {
  try {
    const document: unknown = JSON.parse(await readFile(join(folder, name), 'utf8'));
    if (isObject(document)) return ok({ name, document });
    return err({ file: name, path: '$', reason: 'must be a JSON object' });
  } catch (error) {
    return err({ file: name, path: '$', reason: describeError(error) });
  }
}

/**
 * Applies the files one after another as JSON Merge Patches (RFC 7396) to an empty document.
 *
 * @param files - the files in merge order
 * @returns the merged document
 * @public
 */
export function mergeFiles(files: readonly SourceFile[]): unknown {
  // json-merge-patch mutates its target in place, so each patch is cloned first.
  return files.reduce<unknown>(
    (target, file) => mergePatch.apply(target, structuredClone(file.document)),
    {},
  );
}

/**
 * Reads the `.json` files of a configuration folder and merges them in byte order of their names.
 *
 * @param folder - path of the folder
 * @returns the merged folder, or an issue for each file that cannot be read or parsed
 * @public
 */
export async function readConfigurationFolder(
  folder: string,
): Promise<Result<MergedFolder, readonly ConfigurationIssue[]>> {
  let names: string[];
  try {
    names = (await readdir(folder)).filter((name) => name.endsWith('.json'));
  } catch (error) {
    return err([{ file: folder, path: '$', reason: describeError(error) }]);
  }
  if (names.length === 0) return err([{ file: folder, path: '$', reason: 'has no .json file' }]);
  names.sort((a, b) => Buffer.compare(Buffer.from(a), Buffer.from(b)));
  const results = await Promise.all(names.map((name) => readSourceFile(folder, name)));
  const issues = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  if (issues.length > 0) return err(issues);
  const files = results.flatMap((result) => (result.isOk() ? [result.value] : []));
  return ok({ files, document: mergeFiles(files) });
}

/**
 * Finds the file to correct for a value of the merged document: the last file that sets it, or else
 * the last file that sets its nearest ancestor.
 *
 * @param files - the files in merge order
 * @param keys - the value's keys from the root down
 * @returns the name of the file, or `-` when the list is empty
 * @internal
 */
export function findSourceFile(files: readonly SourceFile[], keys: readonly PropertyKey[]): string {
  for (let depth = keys.length; depth >= 0; depth -= 1) {
    const source = files.findLast((file) => hasPath(file.document, keys.slice(0, depth)));
    if (source !== undefined) return source.name;
  }
  return '-';
}

function hasPath(document: unknown, keys: readonly PropertyKey[]): boolean {
  let value = document;
  for (const key of keys) {
    if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return false;
    value = (value as Record<PropertyKey, unknown>)[key];
  }
  return true;
}
