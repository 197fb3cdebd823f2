import type { Clock } from '@endiveferry/base';

/** Weight of the newest call in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Half-life of the failure share while no calls are sent, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4_000;

/** Share of the recent calls to one server that failed. @internal */
export interface FailureShare {
  /** Returns the share, from 0 to 1. */
  readonly current: () => number;
  record(hasFailed: boolean): void;
  reset(): void;
}

/**
 * Creates the share of a server without calls.
 *
 * @param clock - measures the age of failures
 * @returns the share
 * @internal
 */
export function createFailureShare(clock: Pick<Clock, 'now'>): FailureShare {
  const failures = { share: 0, at: clock.now() };
  const current = () =>
    failures.share * 0.5 ** ((clock.now() - failures.at) / FAILURE_HALF_LIFE_MS);
  return {
    current,
    record(hasFailed) {
      const share = current();
      failures.share = share + FAILURE_WEIGHT * ((hasFailed ? 1 : 0) - share);
      failures.at = clock.now();
    },
    reset() {
      failures.share = 0;
    },
  };
}
