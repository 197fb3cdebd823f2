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

interface ValidFolder {
  readonly document: unknown;
  readonly configuration: Configuration;
}

async function checkFolder(
  folder: string,
): Promise<Result<ValidFolder, readonly ConfigurationIssue[]>> {
  const merged = await readConfigurationFolder(folder);
  return merged.andThen(({ document, files }) =>
    checkConfiguration(document, files).map((configuration) => ({ document, configuration })),
  );
}

function formatIssueCount(issues: readonly ConfigurationIssue[]): string {
  return issues.length === 1 ? '1 issue' : `${issues.length} issues`;
}

function describeIssues(folder: string, issues: readonly ConfigurationIssue[]): string {
  return [...issues.map(formatConfigurationIssue), `${folder}: ${formatIssueCount(issues)}`].join(
    '\n',
  );
}

/** `check DIR`. @internal */
export class CheckCommand extends BaseCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'validate a configuration folder and list every issue',
    examples: [['Check an example', '$0 check examples/urdimbre']],
  });

  folder = Option.String();

  async execute(): Promise<number> {
    const checked = await checkFolder(this.folder);
    if (checked.isErr()) {
      const issues = checked.error;
      return this.fail(describeIssues(this.folder, issues), { isValid: false, faults: issues });
    }
    const { pipelines, pools, workspaces } = checked.value.configuration;
    const counts = [
      `${Object.keys(pipelines).length} pipelines`,
      `${Object.keys(pools).length} pools`,
      `${Object.keys(workspaces).length} workspaces`,
    ].join(', ');
    this.print({ isValid: true, faults: [] }, [`${this.folder}: no issues (${counts})`]);
    return exitCodes.ok;
  }
}

/** `merge DIR`. @internal */
export class MergeCommand extends BaseCommand {
  static override paths = [['merge']];
  static override usage = Command.Usage({
    description: 'print the merged document of a configuration folder, for the platform',
    examples: [['Merge an example', '$0 merge examples/urdimbre > configuration.json']],
  });

  folder = Option.String();

  async execute(): Promise<number> {
    const checked = await checkFolder(this.folder);
    if (checked.isErr()) {
      const issues = checked.error;
      return this.fail(describeIssues(this.folder, issues), { isValid: false, faults: issues });
    }
    this.context.stdout.write(`${JSON.stringify(checked.value.document, null, 2)}\n`);
    return exitCodes.ok;
  }
}

/** A value that differs between two documents; null when it is removed. */
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
    description: 'show the differences between two configuration folders',
    examples: [['Compare two folders', '$0 diff examples/urdimbre my-folder']],
  });

  before = Option.String();
  after = Option.String();

  async execute(): Promise<number> {
    const folders = await Promise.all([checkFolder(this.before), checkFolder(this.after)]);
    const [before, after] = folders;
    if (before.isErr()) return this.fail(describeIssues(this.before, before.error));
    if (after.isErr()) return this.fail(describeIssues(this.after, after.error));
    const patch: unknown = mergePatch.generate(before.value.document, after.value.document) ?? {};
    const changes = listChanges(patch);
    const lines = changes.map(({ path, value }) =>
      value === null ? `- ${path}` : `~ ${path} = ${JSON.stringify(value)}`,
    );
    this.print({ patch, changes }, lines.length === 0 ? ['no change'] : lines);
    return exitCodes.ok;
  }
}
