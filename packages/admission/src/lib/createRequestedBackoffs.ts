import { backendServerIdSchema, type BackendServerId, type Clock } from '@endiveferry/base';
import type { Logger } from '@endiveferry/telemetry';
import { z } from 'zod';

/** Longest backoff that a server may request, in milliseconds. */
const MAX_BACKOFF_MS = 300_000;
/** Smallest extension of a backoff that is logged, in milliseconds: many requests may be rejected. */
const MIN_LOGGED_EXTENSION_MS = 500;
/** Number of servers in one report. */
const MAX_REPORTED = 64;

/** Schema of {@link BackoffReport}. @public */
export const backoffReportSchema = z.object({
  serverId: backendServerIdSchema,
  /** Time until the backoff ends, in milliseconds. */
  remainingMs: z.number().min(0),
});

/** What a host reports to others about the backoff that a server requested from it. @public */
export type BackoffReport = z.infer<typeof backoffReportSchema>;

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
  /** Applies what another host reports of servers that it shares connections to. */
  readonly applyReports: (reports: readonly BackoffReport[], source: string) => void;
  /** Returns what to report to hosts that share connections. */
  readonly listReports: () => BackoffReport[];
}

/** Options of {@link createRequestedBackoffs}. @public */
export interface RequestedBackoffsOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Whether connections to a server are shared: this host reaches it through another one, or carries
   * connections to it for others. The server cannot tell such hosts apart.
   */
  readonly isShared: (serverId: BackendServerId) => boolean;
  /** Called when other hosts should hear of a change without delay. */
  readonly onChange: () => void;
}

interface Backoff {
  readonly endsAt: number;
  /** Whether a response to this host said so. What others report is not passed on. */
  readonly isOwn: boolean;
}

/**
 * Creates the backoffs, none of them requested.
 *
 * @param options - see {@link RequestedBackoffsOptions}
 * @returns the backoffs
 * @public
 */
export function createRequestedBackoffs(options: RequestedBackoffsOptions): RequestedBackoffs {
  const { clock, logger, isShared } = options;
  const backoffs = new Map<BackendServerId, Backoff>();

  const findRemainingMs = (serverId: BackendServerId) =>
    Math.max(0, (backoffs.get(serverId)?.endsAt ?? -Infinity) - clock.now());

  function removeEnded(): void {
    for (const serverId of backoffs.keys())
      if (findRemainingMs(serverId) === 0) backoffs.delete(serverId);
  }

  function extend(
    serverId: BackendServerId,
    requestedMs: number,
    source: string,
    isOwn: boolean,
  ): void {
    removeEnded();
    const backoffMs = Math.min(MAX_BACKOFF_MS, requestedMs);
    const extensionMs = backoffMs - findRemainingMs(serverId);
    if (extensionMs <= 0) return;
    backoffs.set(serverId, { endsAt: clock.now() + backoffMs, isOwn });
    if (isOwn && isShared(serverId)) options.onChange();
    if (extensionMs < MIN_LOGGED_EXTENSION_MS) return;
    logger.info('backend server requested a backoff', {
      backendServer: serverId,
      backoffMs: Math.round(backoffMs),
      requestedMs,
      source,
    });
  }

  return {
    record: (serverId, backoffMs, source) => extend(serverId, backoffMs, source, true),
    findRemainingMs,
    count() {
      removeEnded();
      return backoffs.size;
    },
    applyReports(reports, source) {
      for (const { serverId, remainingMs } of reports)
        if (isShared(serverId)) extend(serverId, remainingMs, source, false);
    },
    listReports() {
      removeEnded();
      return [...backoffs]
        .filter(([serverId, { isOwn }]) => isOwn && isShared(serverId))
        .slice(-MAX_REPORTED)
        .map(([serverId]) => ({ serverId, remainingMs: findRemainingMs(serverId) }));
    },
  };
}
