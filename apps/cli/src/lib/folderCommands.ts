import {
  checkConfiguration,
  formatConfigurationIssue,
  readConfigurationFolder,
  type Configuration,
  type ConfigurationIssue,
} from '@endiveferry/settings';
import { Command, Option } from 'clipanion';
import mergePatch from 'json-merge-patch';
import type { Result } from 'neverthrow';

import { BaseCommand, exitCodes } from './BaseCommand.js';

interface CheckedFolder {
  readonly document: unknown;
  readonly configuration: Configuration;
}

async function checkFolder(
  folder: string,
): Promise<Result<CheckedFolder, readonly ConfigurationIssue[]>> {
  const merged = await readConfigurationFolder(folder);
  return merged.andThen(({ document, files }) =>
    checkConfiguration(document, files).map((configuration) => ({ document, configuration })),
  );
}

function countFaults(faults: readonly ConfigurationIssue[]): string {
  return faults.length === 1 ? '1 fault' : `${faults.length} faults`;
}

function describeFaults(folder: string, faults: readonly ConfigurationIssue[]): string {
  return [...faults.map(formatConfigurationIssue), `${folder}: ${countFaults(faults)}`].join('\n');
}

/** `check DIR`. @internal */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'check a configuration folder and list every fault',
    examples: [['Check an example', '$0 check examples/urdimbre']],
  });

  folder = Option.String();

  async execute(): Promise<number> {
    const checked = await checkFolder(this.folder);
    if (checked.isErr()) {
      const faults = checked.error;
      return this.fail(describeFaults(this.folder, faults), { isValid: false, faults });
    }
    const { pipelines, pools, workspaces } = checked.value.configuration;
    const counts = [
      `${Object.keys(pipelines).length} pipelines`,
      `${Object.keys(pools).length} pools`,
      `${Object.keys(workspaces).length} workspaces`,
    ].join(', ');
    this.print({ isValid: true, faults: [] }, [`${this.folder}: no faults (${counts})`]);
    return exitCodes.ok;
  }
}

/** `merge DIR`. @internal */
export class MergeCommand extends BaseCommand {
  static override paths = [['merge']];
  static override usage = Command.Usage({
    description: 'print the one document that a configuration folder makes, for the platform',
    examples: [['Merge an example', '$0 merge examples/urdimbre > configuration.json']],
  });

  folder = Option.String();

  async execute(): Promise<number> {
    const checked = await checkFolder(this.folder);
    if (checked.isErr()) {
      const faults = checked.error;
      return this.fail(describeFaults(this.folder, faults), { isValid: false, faults });
    }
    this.context.stdout.write(`${JSON.stringify(checked.value.document, null, 2)}\n`);
    return exitCodes.ok;
  }
}

/** One value that a change sets or removes. */
interface Change {
  readonly path: string;
  readonly value: unknown;
}

function listChanges(patch: unknown, path = '$'): Change[] {
  if (typeof patch !== 'object' || patch === null || Array.isArray(patch)) {
    return [{ path, value: patch }];
  }
  return Object.entries(patch).flatMap(([key, value]) => listChanges(value, `${path}.${key}`));
}

/** `diff DIR DIR`. @internal */
export class DiffCommand extends BaseCommand {
  static override paths = [['diff']];
  static override usage = Command.Usage({
    description: 'show what would change from one configuration folder to another',
    examples: [['Compare two folders', '$0 diff examples/urdimbre my-folder']],
  });

  before = Option.String();
  after = Option.String();

  async execute(): Promise<number> {
    const folders = await Promise.all([checkFolder(this.before), checkFolder(this.after)]);
    const [before, after] = folders;
    if (before.isErr()) return this.fail(describeFaults(this.before, before.error));
    if (after.isErr()) return this.fail(describeFaults(this.after, after.error));
    const patch: unknown = mergePatch.generate(before.value.document, after.value.document) ?? {};
    const changes = listChanges(patch);
    const lines = changes.map(({ path, value }) =>
      value === null ? `- ${path}` : `~ ${path} = ${JSON.stringify(value)}`,
    );
    this.print({ patch, changes }, lines.length === 0 ? ['no change'] : lines);
    return exitCodes.ok;
  }
}
