import { Command } from 'clipanion';

import { BaseCommand, exitCodes } from './BaseCommand.js';

/** `completion`. @internal */
export class CompletionCommand extends BaseCommand {
  static override paths = [['completion']];
  static override usage = Command.Usage({
    description: 'print a completion script for bash',
    examples: [['Enable completion in the current shell', 'source <($0 completion)']],
  });

  execute(): Promise<number> {
    const names = this.cli
      .definitions()
      .map(({ path }) => path.split(' ').at(-1))
      .join(' ');
    const script = `complete -o default -W '${names}' endiveferry`;
    this.print({ script }, [script]);
    return Promise.resolve(exitCodes.ok);
  }
}
