import type { BackendServerId, Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';

/** Longest backoff that a server may request, in milliseconds. */
const MAX_BACKOFF_MS = 300_000;
/** Smallest extension of a backoff that is logged, in milliseconds: many requests may be rejected. */
const MIN_LOGGED_EXTENSION_MS = 500;

/**
 * Backoffs that backend servers have requested from this host.
 *
 * @public
 */
export interface RequestedBackoffs {
  /**
   * Records that a server wants no requests for some time, in milliseconds. Of several such times
   * the last end holds.
   */
  readonly record: (serverId: BackendServerId, backoffMs: number, source: string) => void;
  /** Returns the time until the backoff of a server ends, in milliseconds; 0 without one. */
  readonly findRemainingMs: (serverId: BackendServerId) => number;
  readonly count: () => number;
}

/** Options of {@link createRequestedBackoffs}. @public */
export interface RequestedBackoffsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Creates the backoffs, none of them requested.
 *
 * @param options - see {@link RequestedBackoffsOptions}
 * @returns the backoffs
 * @public
 */
export function createRequestedBackoffs(options: RequestedBackoffsOptions): RequestedBackoffs {
  const { clock, logger } = options;
  /** When the backoffs end, by server. */
  const endsAt = new Map<BackendServerId, number>();

  const findRemainingMs = (serverId: BackendServerId) =>
    Math.max(0, (endsAt.get(serverId) ?? -Infinity) - clock.now());

  function removeEnded(): void {
    for (const serverId of endsAt.keys())
      if (findRemainingMs(serverId) === 0) endsAt.delete(serverId);
  }

  return {
    record(serverId, backoffMs, source) {
      removeEnded();
      const boundedMs = Math.min(MAX_BACKOFF_MS, backoffMs);
      const extensionMs = boundedMs - findRemainingMs(serverId);
      if (extensionMs <= 0) return;
      endsAt.set(serverId, clock.now() + boundedMs);
      if (extensionMs < MIN_LOGGED_EXTENSION_MS) return;
      logger.info('backend server requested a backoff', {
        backendServer: serverId,
        backoffMs: boundedMs,
        requestedMs: backoffMs,
        source,
      });
    },
    findRemainingMs,
    count() {
      removeEnded();
      return endsAt.size;
    },
  };
}
