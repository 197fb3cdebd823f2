import { runCli } from './runCli.js';

/** Exit code that shells report for a program that SIGPIPE ended: 128 + 13. */
const SIGPIPE_EXIT_CODE = 141;

/**
 * Runs the command-line tool as a process and sets its exit code. A closed output pipe, such as one
 * to `head`, ends the process without an error message.
 *
 * @param args - the command-line arguments
 * @public
 */
export async function runCliProcess(args: readonly string[]): Promise<void> {
  process.stdout.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'EPIPE') process.exit(SIGPIPE_EXIT_CODE);
    throw error;
  });
  process.exitCode = await runCli(args);
}
