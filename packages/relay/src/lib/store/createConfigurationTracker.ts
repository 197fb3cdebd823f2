import type { Logger } from '@endiveferry/telemetry';

import { createRankTable, type RankTable } from './createRankTable.js';
import { createRouteTable, type RouteTable } from './createRouteTable.js';
import type { DualTimestamp, DualClock } from '../createDualClock.js';
import type {
  PublishedDocument,
  RelayConfiguration,
  RelayWorkspace,
} from '../RelayConfiguration.js';

/**
 * Keys stop being accepted this long before the revocation bound: an admitted request still needs
 * time to reach its backend server.
 */
const REVOCATION_MARGIN_MS = 700;

/** The configuration in force with its lookup tables. @public */
export interface ActiveConfiguration {
  readonly configuration: RelayConfiguration;
  /** The document as it was published. */
  readonly text: string;
  readonly routes: RouteTable;
  readonly ranks: RankTable;
  readonly findWorkspace: (key: string) => RelayWorkspace | undefined;
}

/**
 * Tracks the configuration in force on this host and when it was last confirmed.
 *
 * @public
 */
export interface ConfigurationTracker {
  /** Returns the configuration in force; undefined before the first one. */
  readonly current: () => ActiveConfiguration | undefined;
  /** Returns the version in force; 0 before the first one. */
  readonly version: () => number;
  /**
   * Puts a version into force that was confirmed at the given instant. A version older than the one
   * in force is ignored.
   */
  apply(document: PublishedDocument, confirmedAt: DualTimestamp, source: string): void;
  /** Records that a version was still in force at the given instant; ignores other versions. */
  confirm(version: number, confirmedAt: DualTimestamp): void;
  /** Returns the time since the last confirmation, in milliseconds; Infinity without one. */
  readonly confirmedAgeMs: () => number;
  /** Whether the last confirmation is recent enough for API keys to be accepted. */
  readonly mayAcceptKeys: () => boolean;
}

/**
 * Options of {@link createConfigurationTracker}.
 *
 * @public
 */
export interface ConfigurationTrackerOptions {
  readonly dualClock: DualClock;
  readonly logger: Logger;
  /** Returns the longest time that a revoked key may still be accepted, in milliseconds. */
  readonly findRevocationMs: () => number;
  readonly onChange: (active: ActiveConfiguration) => void;
}

function buildActiveConfiguration({ configuration, text }: PublishedDocument): ActiveConfiguration {
  const workspaces = new Map<string, RelayWorkspace>();
  for (const workspace of configuration.workspaces ?? []) {
    for (const key of workspace.keys) workspaces.set(key, workspace);
  }
  return {
    configuration,
    text,
    routes: createRouteTable(configuration.routes),
    ranks: createRankTable(configuration),
    findWorkspace: (key) => workspaces.get(key),
  };
}

/**
 * Creates a tracker without a configuration.
 *
 * @param options - see {@link ConfigurationTrackerOptions}
 * @returns the tracker
 * @public
 */
export function createConfigurationTracker(
  options: ConfigurationTrackerOptions,
): ConfigurationTracker {
  const { dualClock, logger, findRevocationMs, onChange } = options;
  let active: ActiveConfiguration | undefined;
  let confirmedAt: DualTimestamp | undefined;

  const version = () => active?.configuration.version ?? 0;
  const computeConfirmedAgeMs = () =>
    confirmedAt === undefined ? Infinity : dualClock.computeAgeMs(confirmedAt);

  function confirm(confirmedVersion: number, timestamp: DualTimestamp): void {
    if (confirmedVersion !== version() || active === undefined) return;
    if (dualClock.computeAgeMs(timestamp) < computeConfirmedAgeMs()) confirmedAt = timestamp;
  }

  return {
    current: () => active,
    version,
    apply(document, timestamp, source) {
      const next = document.configuration.version;
      if (next > version()) {
        const previous = version();
        // The last confirmation stays valid: versions newer than this one were published after it.
        active = buildActiveConfiguration(document);
        logger.info('configuration is in force', {
          version: next,
          previous,
          source,
          ageMs: Math.round(dualClock.computeAgeMs(timestamp)),
        });
        onChange(active);
      }
      confirm(next, timestamp);
    },
    confirm,
    confirmedAgeMs: computeConfirmedAgeMs,
    mayAcceptKeys: () => computeConfirmedAgeMs() <= findRevocationMs() - REVOCATION_MARGIN_MS,
  };
}
