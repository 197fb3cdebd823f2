import { computeRendezvousOrder, type HostId } from '@endiveferry/base';
import { isFullyLinked } from '@endiveferry/peers';
import type { Logger } from '@endiveferry/telemetry';

import type { Membership } from './createMembership.js';

/** Hosts for each host that watches the configuration on behalf of a large fleet. */
const HOSTS_PER_READER = 16;
/** Fewest of these, so that some remain when others are lost or cut off from the store. */
const MIN_READERS = 3;
const READERS_KEY = 'store-readers';
/**
 * Age from which a reader, or a host of a small fleet, renews its confirmation of the configuration,
 * in milliseconds. API keys are accepted for only a few seconds after the last confirmation.
 */
const READER_CONFIRM_AGE_MS = 1_000;
/**
 * Longest age at which other hosts renew it by themselves, in milliseconds. With the jitter and the
 * read it stays below the age at which requests are no longer rejected for good.
 */
const MAX_CONFIRM_AGE_MS = 1_800;
/** The same as a share of the time within which a configuration must be in force. */
const CONFIRM_SHARE = 0.45;
/** Time beyond that age after which a host watches by itself, in milliseconds. */
const OVERDUE_MS = 1_200;

/**
 * Chooses the hosts that watch the configuration for the whole fleet. A small fleet, in which each
 * host is linked with each other one, has no need of a choice.
 *
 * @param hostIds - the hosts that are up
 * @returns the hosts that watch
 * @internal
 */
export function chooseStoreReaders(hostIds: readonly HostId[]): ReadonlySet<HostId> {
  if (isFullyLinked(hostIds.length)) return new Set(hostIds);
  const count = Math.max(MIN_READERS, Math.ceil(hostIds.length / HOSTS_PER_READER));
  return new Set(computeRendezvousOrder(READERS_KEY, hostIds).slice(0, count));
}

/**
 * Creates the check whether a host is one of those that watch.
 *
 * @param hostId - the host
 * @param listLive - returns the other live hosts, in the same map until one of them changes
 * @param logger - logs when the host becomes one of them or ceases to be one
 * @returns the check
 * @internal
 */
export function createReaderCheck(
  hostId: HostId,
  listLive: Membership['listLive'],
  logger: Logger,
): () => boolean {
  let last: { readonly live: ReturnType<typeof listLive>; readonly isReader: boolean } | undefined;
  return () => {
    const live = listLive();
    if (last?.live === live) return last.isReader;
    const isReader = chooseStoreReaders([hostId, ...live.keys()]).has(hostId);
    if (last !== undefined && last.isReader !== isReader)
      logger.info('store readers changed', { isReader, liveHosts: live.size + 1 });
    last = { live, isReader };
    return isReader;
  };
}

/**
 * Decides when this host reads the configuration from the store. Each call counts against a rate of
 * all hosts together, and in a large fleet at rest almost all calls are confirmations and watches
 * that tell each host the same.
 *
 * @public
 */
export interface StoreReading {
  /** Returns the age from which this host renews its confirmation, in milliseconds. */
  readonly findConfirmAgeMs: () => number;
  /** Whether this host watches the configuration, for others or because it hears nothing of it. */
  readonly isWatching: () => boolean;
}

/** Options of {@link createStoreReading}. @public */
export interface StoreReadingOptions {
  /** Whether this host is one of those that watch for all. */
  readonly isReader: () => boolean;
  /** Returns the age of the last confirmation, by the store or another host, in milliseconds. */
  readonly confirmedAgeMs: () => number;
  /** Returns the time within which a new configuration must be in force, in milliseconds. */
  readonly findApplyMs: () => number;
}

/**
 * Creates the decision.
 *
 * @param options - see {@link StoreReadingOptions}
 * @returns the decision
 * @public
 */
export function createStoreReading(options: StoreReadingOptions): StoreReading {
  const { isReader, confirmedAgeMs, findApplyMs } = options;

  const findConfirmAgeMs = () =>
    isReader()
      ? READER_CONFIRM_AGE_MS
      : Math.max(
          READER_CONFIRM_AGE_MS,
          Math.min(MAX_CONFIRM_AGE_MS, findApplyMs() * CONFIRM_SHARE),
        );

  return {
    findConfirmAgeMs,
    isWatching: () => isReader() || confirmedAgeMs() > findConfirmAgeMs() + OVERDUE_MS,
  };
}
