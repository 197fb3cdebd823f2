import type { Failure, FailureReason, Random } from '@endiveferry/base';

/** Retry delay when it is unknown when capacity becomes available, in milliseconds. */
const DEFAULT_RETRY_DELAY_MS = 400;
/** Largest jitter, as a share of the retry delay. */
const JITTER_SHARE = 1;

/** Reasons for which a request is rejected again when it is retried, unless the failure says when. */
const PERMANENT_REASONS: ReadonlySet<FailureReason> = new Set([
  'part-blocked',
  'request-blocked',
  'cannot-resume',
  'too-large',
]);

/**
 * Sets the retry delay of a failed request that did not run, with jitter, so that callers that were
 * rejected at the same time don't retry at the same time.
 *
 * @param failure - the failure
 * @param random - source of the jitter
 * @returns the failure with a retry delay; unchanged if the request ran or may have run, or if
 *   a retry is of no use
 * @public
 */
export function addRetryDelay(failure: Failure, random: Random): Failure {
  const isPermanent = PERMANENT_REASONS.has(failure.reason) && failure.retryAfterMs === undefined;
  if (isPermanent || failure.execution !== 'not-run') return failure;
  const baseMs = failure.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS;
  return { ...failure, retryAfterMs: baseMs * (1 + random.nextFraction() * JITTER_SHARE) };
}
