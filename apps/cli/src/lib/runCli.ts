import { Builtins, Cli } from 'clipanion';

import { CompletionCommand } from './CompletionCommand.js';
import { CheckCommand, DiffCommand, MergeCommand } from './folderCommands.js';
import { DrainCommand, ExplainCommand, StatusCommand, TopCommand } from './hostCommands.js';
import { RouteCommand } from './RouteCommand.js';
import { SubmitCommand } from './SubmitCommand.js';

/**
 * Runs the command-line tool.
 *
 * @param args - the command-line arguments
 * @param context - the streams to use; defaults to those of the process
 * @returns the exit code
 * @public
 */
export function runCli(
  args: readonly string[],
  context: Parameters<Cli['run']>[1] = {},
): Promise<number> {
  const cli = new Cli({ binaryLabel: 'endiveferry', binaryName: 'endiveferry' });
  cli.register(Builtins.HelpCommand);
  cli.register(CheckCommand);
  cli.register(MergeCommand);
  cli.register(DiffCommand);
  cli.register(SubmitCommand);
  cli.register(StatusCommand);
  cli.register(TopCommand);
  cli.register(ExplainCommand);
  cli.register(DrainCommand);
  cli.register(RouteCommand);
  cli.register(CompletionCommand);
  return cli.run([...args], context);
}
