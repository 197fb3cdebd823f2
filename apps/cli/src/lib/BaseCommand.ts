import { Command, Option } from 'clipanion';

/** Exit codes of the command-line tool. @internal */
export const exitCodes = { ok: 0, failed: 1, usage: 2 } as const;

/**
 * Base class of all commands, with output as text or as JSON. Clipanion requires classes.
 *
 * @internal
 */
export abstract class BaseCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print a single JSON document' });

  /** Prints the document as JSON with `--json`, or else the lines of text. */
  protected print(document: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(document, null, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints why the command failed, and returns the exit code of a failed command. */
  protected fail(reason: string, document: unknown = { error: reason }): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
    else this.context.stderr.write(`${reason}\n`);
    return exitCodes.failed;
  }
}
