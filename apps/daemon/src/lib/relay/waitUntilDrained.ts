import { waitFor, type Clock } from '@endiveferry/base';

/**
 * Time for the load balancer to send new connections elsewhere, in milliseconds: two health checks
 * and a margin.
 */
const BALANCER_SWITCH_MS = 2_700;
/** Part of the grace period reserved for exiting, in milliseconds. */
const SHUTDOWN_MARGIN_MS = 400;
/** Time before that by which requests without a response are answered, in milliseconds. */
const ANSWER_MARGIN_MS = 400;
const POLL_INTERVAL_MS = 50;

/** Options of {@link waitUntilDrained}. @internal */
export interface DrainOptions {
  readonly clock: Clock;
  /** Monotonic time at which the stop began, in milliseconds. */
  readonly since: number;
  /** Time between the start of the stop and the forced end of the process, in milliseconds. */
  readonly graceMs: number;
  /** Whether no request is in progress and no work waits. */
  readonly isIdle: () => boolean;
  /**
   * Called when callers use other hosts for new connections. New requests on open connections could
   * be aborted at the end of the grace period, and other hosts can still serve them.
   */
  readonly onBalancerSwitched: () => void;
  /** Called when the requests without a response have to be answered. */
  readonly onAnswersDue: () => void;
}

/**
 * Computes the time by which a stopping host must have answered the requests that it has.
 *
 * @param since - monotonic time at which the stop began, in milliseconds
 * @param graceMs - time between the start of the stop and the forced end, in milliseconds
 * @returns the monotonic time, in milliseconds
 * @internal
 */
export const computeStopEndAt = (since: number, graceMs: number) =>
  since + graceMs - SHUTDOWN_MARGIN_MS - ANSWER_MARGIN_MS;

/**
 * Waits until a stopping host has no more work, or until it has to abort the rest.
 *
 * @param options - see {@link DrainOptions}
 * @internal
 */
export async function waitUntilDrained(options: DrainOptions): Promise<void> {
  const { clock, since, graceMs, isIdle } = options;
  const answerAt = computeStopEndAt(since, graceMs);
  const endAt = since + graceMs - SHUTDOWN_MARGIN_MS;
  for (;;) {
    await waitFor(clock, POLL_INTERVAL_MS);
    const hasBalancerSwitched = clock.now() - since >= BALANCER_SWITCH_MS;
    if (hasBalancerSwitched) options.onBalancerSwitched();
    if (clock.now() >= answerAt) options.onAnswersDue();
    if ((hasBalancerSwitched && isIdle()) || clock.now() >= endAt) return;
  }
}
