import { parseArgs } from 'node:util';

import { describeError } from '@endiveferry/base';
import { formatConfigurationIssue, readProcessSettings } from '@endiveferry/settings';
import { setLogWriter } from '@endiveferry/telemetry';

import { createDaemon } from './createDaemon.js';
import type { Daemon } from './Daemon.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

const USAGE = `endiveferryd: serves callers of multi-stage pipelines

Usage: endiveferryd --settings FILE

  --settings FILE   the process settings, in JSON (see docs/OPERATIONS.md)
  --help            print this text

Signals: SIGTERM and SIGINT stop gracefully; SIGHUP reloads the TLS files.
Exit codes: 0 stopped gracefully, 1 could not start or stopped after an exception, 2 invalid arguments or settings.
`;

function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}

/**
 * Stops gracefully on the first signal, or after an exception that nothing handled. Further signals
 * abort nothing and print what is in progress.
 */
function handleSignals(daemon: Daemon): void {
  let isStopping = false;
  let exitCode = EXIT_OK;
  const stop = (signal: string) => {
    if (isStopping) {
      const { activeRequests } = daemon.status();
      printError(
        `${signal}: still waiting for ${activeRequests} requests; use SIGKILL to stop at once`,
      );
      return;
    }
    isStopping = true;
    void daemon.drain().then(() => process.exit(exitCode));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('uncaughtException', (error) => {
    printError(`uncaught exception, stopping: ${error.stack ?? describeError(error)}`);
    exitCode = EXIT_FAILED;
    stop('uncaught exception');
  });
  process.on('SIGHUP', () => {
    daemon.reload().catch((error: unknown) => printError(`reload: ${describeError(error)}`));
  });
}

function parseSettingsFile(args: readonly string[]): string | undefined {
  const { values } = parseArgs({
    args: [...args],
    options: { settings: { type: 'string' }, help: { type: 'boolean' } },
  });
  return values.help === true ? undefined : values.settings;
}

/**
 * Runs the daemon as its own process: parses arguments, reads settings and handles signals.
 *
 * @param args - the command-line arguments
 * @public
 */
export async function runProcess(args: readonly string[]): Promise<void> {
  let file: string | undefined;
  try {
    file = parseSettingsFile(args);
  } catch (error) {
    printError(describeError(error));
  }
  if (file === undefined) {
    process.stdout.write(USAGE);
    process.exitCode = args.includes('--help') ? EXIT_OK : EXIT_USAGE;
    return;
  }
  const settings = await readProcessSettings(file);
  if (settings.isErr()) {
    for (const issue of settings.error) printError(formatConfigurationIssue(issue));
    process.exitCode = EXIT_USAGE;
    return;
  }
  setLogWriter((line) => process.stdout.write(`${line}\n`));
  try {
    handleSignals(await createDaemon({ settings: settings.value }));
  } catch (error) {
    printError(`cannot start: ${describeError(error)}`);
    process.exit(EXIT_FAILED);
  }
}
