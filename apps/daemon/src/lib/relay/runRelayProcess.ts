import { describeError, hostIdSchema } from '@endiveferry/base';
import type { HostEnvironment } from '@endiveferry/relay';
import { createLineWriter, createLogger, setLogWriter } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { RelayHost } from './createRelayHost.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const STANDARD_OUTPUT = 1;

/** Settings that may change while the process runs. */
const RELOADABLE_FIELDS = [
  'seeds',
  'graceMs',
  'revocationMs',
  'configurationApplyMs',
  'drainMs',
  'evacuateMs',
  'warmUpOvershoot',
  'warmUpSlack',
  'retryShare',
  'retrySlack',
] as const satisfies readonly (keyof HostEnvironment)[];

/** Options of a process that runs a relay host. @public */
export interface RelayProcessOptions {
  /** The settings at the start. Their addresses do not change while the process runs. */
  readonly settings: HostEnvironment;
  /** Reads the current settings, which may change while the process runs. */
  readonly readSettings: () => Result<HostEnvironment, string>;
  /** Interval at which the settings are read again, in milliseconds. */
  readonly settingsReloadIntervalMs: number;
  readonly startHost: (environment: HostEnvironment) => Promise<RelayHost>;
}

/**
 * Creates an environment whose reloadable fields are updated in place, so that the host sees them at
 * its next access. `update` returns whether a field changed.
 */
function createReloadableEnvironment(first: HostEnvironment): {
  environment: HostEnvironment;
  readonly update: (next: HostEnvironment) => boolean;
} {
  const environment = { ...first };
  return {
    environment,
    update(next) {
      const before = JSON.stringify(environment);
      for (const field of RELOADABLE_FIELDS) Object.assign(environment, { [field]: next[field] });
      return JSON.stringify(environment) !== before;
    },
  };
}

/** Reads the settings again and applies those that may change. */
function reloadSettings(
  host: RelayHost,
  options: RelayProcessOptions,
  update: (next: HostEnvironment) => boolean,
  isRequested: boolean,
): void {
  options.readSettings().match(
    (next) => {
      const hasChanged = update(next);
      if (hasChanged) host.logReload('settings changed');
      else if (isRequested) host.logReload('no settings changed');
    },
    (reason) => host.logReload(`invalid, keeping the previous settings: ${reason}`),
  );
}

/**
 * Runs a relay host as this process. SIGTERM and SIGINT stop it gracefully, SIGHUP reloads the
 * settings; a signal that arrives while the host starts takes effect when it has started. So does an
 * exception that nothing handles, which starts a planned stop.
 *
 * @param options - see {@link RelayProcessOptions}
 * @public
 */
export async function runRelayProcess(options: RelayProcessOptions): Promise<void> {
  const lines = createLineWriter(STANDARD_OUTPUT);
  setLogWriter(lines.write);
  const logger = createLogger(hostIdSchema.parse(options.settings.hostName), 'info');
  const { environment, update } = createReloadableEnvironment(options.settings);
  let host: RelayHost | undefined;
  /** What signals requested during the start. */
  const pending: { stopCause?: string; hasReload: boolean } = { hasReload: false };
  let exitCode = EXIT_OK;

  const exit = async () => {
    await lines.flush().catch(() => undefined);
    process.exit(exitCode);
  };
  const stop = (cause: string) => {
    if (host === undefined) {
      pending.stopCause ??= cause;
      logger.info('stop requested during the start; stopping after it', { cause });
      return;
    }
    host.stop(cause).then(exit, (error: unknown) => {
      logger.error('the planned stop failed', { error: describeError(error) });
      exitCode = EXIT_FAILED;
      void exit();
    });
  };
  const onSignal = (signal: NodeJS.Signals) => stop(signal);
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', () => {
    if (host !== undefined) {
      reloadSettings(host, options, update, true);
      return;
    }
    pending.hasReload = true;
    logger.info('settings will be read again after the start');
  });
  // An error in one request must not end all others. The request's caller sees a closed connection.
  process.on('unhandledRejection', (reason) =>
    logger.error('unhandled promise rejection', { detail: describeError(reason) }),
  );
  // The state that the listener or timer left behind is unknown, but open requests can be answered.
  process.on('uncaughtException', (error) => {
    logger.error('uncaught exception', { detail: error.stack ?? describeError(error) });
    exitCode = EXIT_FAILED;
    stop('uncaught exception');
  });

  try {
    host = await options.startHost(environment);
  } catch (error) {
    process.stderr.write(`cannot start: ${describeError(error)}\n`);
    process.exit(EXIT_FAILED);
  }
  const started = host;
  if (pending.stopCause !== undefined) stop(pending.stopCause);
  if (pending.hasReload) reloadSettings(started, options, update, true);
  setInterval(
    () => reloadSettings(started, options, update, false),
    options.settingsReloadIntervalMs,
  );
}
