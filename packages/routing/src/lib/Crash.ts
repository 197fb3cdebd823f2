import type { BackendServerId } from '@endiveferry/base';

/**
 * Crashes of servers that ran requests at the same time and are closer to each other than this, in
 * milliseconds, have one cause, such as a lost zone.
 */
const MIN_CRASH_GAP_MS = 100;
/** A server is down for longer than this after a crash, in milliseconds. */
const MIN_RESTART_MS = 1_500;

/** A crash of a server while it ran a request. @internal */
export interface Crash {
  readonly serverId: BackendServerId;
  readonly at: number;
  /** Time for which the server had run the request; undefined if it is not known. */
  readonly ranMs: number | undefined;
}

/**
 * Returns whether two observations are of one crash, or of crashes with one cause.
 *
 * @param first - an observation
 * @param second - another one
 * @returns whether they count as one crash
 * @internal
 */
export function isSameCrash(first: Crash, second: Crash): boolean {
  const gapMs = Math.abs(first.at - second.at);
  if (first.serverId === second.serverId) return gapMs < MIN_RESTART_MS;
  const later = first.at > second.at ? first : second;
  // A retry begins after the crash before it, and may crash the next server very soon.
  const isRetry = later.ranMs !== undefined && later.ranMs <= gapMs;
  return gapMs < MIN_CRASH_GAP_MS && !isRetry;
}
