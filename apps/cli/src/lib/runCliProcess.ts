import { runCli } from './runCli.js';

/** The exit code that shells give a program whose reader went away. */
const EXIT_READER_GONE = 141;

/**
 * Runs the command-line tool as a process of its own. A reader that stops reading, as `head` does,
 * ends it without a word.
 *
 * @param args - the command-line arguments
 * @public
 */
export async function runCliProcess(args: readonly string[]): Promise<void> {
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(EXIT_READER_GONE);
    throw error;
  });
  process.exitCode = await runCli(args);
}
