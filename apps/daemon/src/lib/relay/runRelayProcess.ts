import { describeError } from '@endiveferry/base';
import type { HostEnvironment } from '@endiveferry/relay';
import { createLineWriter, setLogWriter } from '@endiveferry/telemetry';
import type { Result } from 'neverthrow';

import type { RelayHost } from './createRelayHost.js';

const EXIT_OK = 0;
const EXIT_FAILED = 1;
const STANDARD_OUTPUT = 1;

/** Options of a process that runs a relay host. @public */
export interface RelayProcessOptions {
  /** The settings at the start; addresses hold for the life of the process. */
  readonly settings: HostEnvironment;
  /** Reads the settings again; they may change while the process runs. */
  readonly readSettings: () => Result<HostEnvironment, string>;
  /** How often that is done, in milliseconds. */
  readonly settingsReloadIntervalMs: number;
  readonly start: (environment: HostEnvironment) => Promise<RelayHost>;
}

/** Settings that the host reads each time it needs them. */
function createLivePlace(first: HostEnvironment): {
  environment: HostEnvironment;
  update(next: HostEnvironment): boolean;
} {
  const environment = { ...first };
  return {
    environment,
    update({ seeds, graceMs, revocationMs, retryShare, retrySlack }) {
      const before = JSON.stringify(environment);
      Object.assign(environment, { seeds, graceMs, revocationMs, retryShare, retrySlack });
      return JSON.stringify(environment) !== before;
    },
  };
}

/**
 * Runs a relay host as a process of its own: SIGTERM and SIGINT stop it gracefully, SIGHUP reads the
 * settings again.
 *
 * @param options - see {@link RelayProcessOptions}
 * @public
 */
export async function runRelayProcess(options: RelayProcessOptions): Promise<void> {
  const lines = createLineWriter(STANDARD_OUTPUT);
  setLogWriter(lines.write);
  const live = createLivePlace(options.settings);
  let host: RelayHost;
  try {
    host = await options.start(live.environment);
  } catch (error) {
    process.stderr.write(`cannot start: ${describeError(error)}\n`);
    process.exit(EXIT_FAILED);
  }

  const stop = () => {
    void host
      .stop()
      .then(() => lines.flush())
      .then(() => process.exit(EXIT_OK));
  };
  const reload = (isAsked: boolean) => {
    options.readSettings().match(
      (next) => {
        const hasChanged = live.update(next);
        if (hasChanged) host.logReload('settings changed');
        else if (isAsked) host.logReload('nothing changed');
      },
      (reason) => host.logReload(`not usable, the earlier ones stay: ${reason}`),
    );
  };
  // One request's fault must not end all others; its own caller sees a broken connection.
  process.on('unhandledRejection', (reason) => host.logUnhandledRejection(describeError(reason)));
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => reload(true));
  setInterval(() => reload(false), options.settingsReloadIntervalMs);
}
