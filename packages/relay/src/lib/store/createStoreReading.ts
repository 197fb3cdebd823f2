import type { StoreReading } from '../ports.js';

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
/** Delay until the next watch of the backend servers after a first change, in milliseconds. */
const MIN_CHANGE_DELAY_MS = 200;
/**
 * Longest such delay, as a share of the time within which a leaving server must get no new requests:
 * the change may happen right after the last response, and is then applied that much later.
 */
const CHANGE_DELAY_SHARE = 0.3;

/**
 * Longest time for which the store may hold a watch open, in milliseconds. A connection without
 * responses is detected only after this and the time for a response, and that delays changes.
 */
const MAX_WATCH_MS = 2_400;
/** Share of the time within which an evacuation must be in force that one watch may take. */
const EVACUATE_WATCH_SHARE = 0.48;
/** The same for the longest age at which hosts that do not watch read by themselves. */
const EVACUATE_CONFIRM_SHARE = 0.36;

/** Options of {@link createStoreReading}. @public */
export interface StoreReadingOptions {
  /** Whether this host is one of those that watch for all. */
  readonly isReader: () => boolean;
  /** Returns the age of the last confirmation, by the store or another host, in milliseconds. */
  readonly confirmedAgeMs: () => number;
  /** Returns the time within which a new configuration must be in force, in milliseconds. */
  readonly findApplyMs: () => number;
  /** Returns the time within which a leaving server must get no new requests, in milliseconds. */
  readonly findDrainMs: () => number;
  /** Returns the time within which an evacuation must be in force; by default there is none. */
  readonly findEvacuateMs?: () => number | undefined;
}

/**
 * Creates the decision. While a fleet starts, or its servers are replaced one after the other, each
 * change would end the watch of each host: such watches were up to half of all calls.
 *
 * @param options - see {@link StoreReadingOptions}
 * @returns the decision
 * @public
 */
export function createStoreReading(options: StoreReadingOptions): StoreReading {
  const { isReader, confirmedAgeMs, findApplyMs, findEvacuateMs = () => undefined } = options;
  let changeDelayMs = 0;

  const findConfirmAgeMs = () =>
    isReader()
      ? READER_CONFIRM_AGE_MS
      : Math.max(
          READER_CONFIRM_AGE_MS,
          Math.min(
            MAX_CONFIRM_AGE_MS,
            findApplyMs() * CONFIRM_SHARE,
            (findEvacuateMs() ?? Infinity) * EVACUATE_CONFIRM_SHARE,
          ),
        );

  return {
    findConfirmAgeMs,
    isWatching: () => isReader() || confirmedAgeMs() > findConfirmAgeMs() + OVERDUE_MS,
    recordServerChanges(count) {
      const maxMs = Math.max(MIN_CHANGE_DELAY_MS, options.findDrainMs() * CHANGE_DELAY_SHARE);
      const grownMs = Math.max(MIN_CHANGE_DELAY_MS, changeDelayMs * 2);
      changeDelayMs = count === 0 ? 0 : Math.min(maxMs, grownMs);
      return changeDelayMs;
    },
    findWatchMs: () =>
      Math.min(MAX_WATCH_MS, (findEvacuateMs() ?? Infinity) * EVACUATE_WATCH_SHARE),
  };
}
