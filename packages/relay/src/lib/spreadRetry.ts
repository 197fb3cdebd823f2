import type { Failure, Random } from '@endiveferry/base';

/** When a caller may come back where nothing tells when there will be room, in milliseconds. */
const DEFAULT_RETRY_MS = 400;
/** Callers that were refused together come back spread over this part of their wait. */
const SPREAD_SHARE = 1;

/**
 * Tells a caller whose request did not run when to come back, spread so that those who were refused
 * together don't come back together.
 *
 * @param failure - the failure
 * @param random - spreads
 * @returns the failure with a time to come back; unchanged where the request may have run
 * @public
 */
export function spreadRetry(failure: Failure, random: Random): Failure {
  if (failure.execution !== 'not-run') return failure;
  const baseMs = failure.retryAfterMs ?? DEFAULT_RETRY_MS;
  return { ...failure, retryAfterMs: baseMs * (1 + random.nextFraction() * SPREAD_SHARE) };
}
