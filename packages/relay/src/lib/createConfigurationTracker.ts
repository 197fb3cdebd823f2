import type { Logger } from '@endiveferry/telemetry';

import { createRankTable, type RankTable } from './createRankTable.js';
import { createRouteTable, type RouteTable } from './createRouteTable.js';
import type { DualTimestamp, DualClock } from './createDualClock.js';
import type {
  PublishedDocument,
  RelayConfiguration,
  RelayWorkspace,
} from './RelayConfiguration.js';

/**
 * Time, in milliseconds, kept between the moment up to which keys are honoured and the bound: a
 * request that was admitted needs some of it to reach its backend server.
 */
const REVOCATION_MARGIN_MS = 700;

/** The configuration in force, ready to use. @public */
export interface ActiveConfiguration {
  readonly configuration: RelayConfiguration;
  /** As it was published. */
  readonly text: string;
  readonly routes: RouteTable;
  readonly ranks: RankTable;
  readonly findWorkspace: (key: string) => RelayWorkspace | undefined;
}

/**
 * What this host holds to be in force, and for how long it may.
 *
 * @public
 */
export interface ConfigurationTracker {
  readonly current: () => ActiveConfiguration | undefined;
  /** The version in force; 0 before the first. */
  readonly version: () => number;
  /**
   * Takes over a version that was in force at a moment; an older version than the one in force
   * changes nothing.
   */
  apply(document: PublishedDocument, confirmedAt: DualTimestamp, source: string): void;
  /** Notes that a version was still in force at a moment. */
  confirm(version: number, confirmedAt: DualTimestamp): void;
  /** Time since the version in force was last confirmed, in milliseconds; Infinity when never. */
  readonly confirmedAgeMs: () => number;
  /** Whether a key that this host knows may still be honoured. */
  readonly mayAcceptKeys: () => boolean;
}

/**
 * Options of the beliefs.
 *
 * @public
 */
export interface ConfigurationTrackerOptions {
  readonly dualClock: DualClock;
  readonly logger: Logger;
  /** Longest time for which a key may be honoured after it was taken away, in milliseconds. */
  readonly findRevocationMs: () => number;
  readonly onChange: (inForce: ActiveConfiguration) => void;
}

function buildInForce({ configuration, text }: PublishedDocument): ActiveConfiguration {
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
 * Creates the beliefs of a host that knows nothing yet.
 *
 * @param options - see {@link ConfigurationTrackerOptions}
 * @returns the beliefs
 * @public
 */
export function createConfigurationTracker(
  options: ConfigurationTrackerOptions,
): ConfigurationTracker {
  const { dualClock, logger, findRevocationMs, onChange } = options;
  let inForce: ActiveConfiguration | undefined;
  let confirmedAt: DualTimestamp | undefined;

  const version = () => inForce?.configuration.version ?? 0;
  const computeAge = () =>
    confirmedAt === undefined ? Infinity : dualClock.computeAgeMs(confirmedAt);

  function confirm(confirmedVersion: number, moment: DualTimestamp): void {
    if (confirmedVersion !== version() || inForce === undefined) return;
    if (dualClock.computeAgeMs(moment) < computeAge()) confirmedAt = moment;
  }

  return {
    current: () => inForce,
    version,
    apply(document, moment, source) {
      const next = document.configuration.version;
      if (next > version()) {
        const previous = version();
        inForce = buildInForce(document);
        confirmedAt = undefined;
        logger.info('a configuration is in force', {
          version: next,
          previous,
          source,
          ageMs: Math.round(dualClock.computeAgeMs(moment)),
        });
        onChange(inForce);
      }
      confirm(next, moment);
    },
    confirm,
    confirmedAgeMs: computeAge,
    mayAcceptKeys: () => computeAge() <= findRevocationMs() - REVOCATION_MARGIN_MS,
  };
}
