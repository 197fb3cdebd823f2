import { Command, Option } from 'clipanion';

/** Exit codes of the tool. @internal */
export const exitCodes = { ok: 0, failed: 1, usage: 2 } as const;

/**
 * What all commands share: output for people or for programs. Clipanion wants classes.
 *
 * @internal
 */
export abstract class BaseCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'print one JSON document' });

  /** Prints a document as JSON, or its lines for people. */
  protected print(document: unknown, lines: readonly string[]): void {
    const text = this.json ? JSON.stringify(document, null, 2) : lines.join('\n');
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints why the command failed, and returns its exit code. */
  protected fail(reason: string, document: unknown = { error: reason }): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify(document, null, 2)}\n`);
    else this.context.stderr.write(`${reason}\n`);
    return exitCodes.failed;
  }
}
