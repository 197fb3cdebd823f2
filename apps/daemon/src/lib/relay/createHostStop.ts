import type { Clock } from '@endiveferry/base';
import { createStopDeadline, type StopDeadline } from '@endiveferry/relay';
import type { Logger } from '@endiveferry/telemetry';

import { computeStopEndAt, waitUntilDrained } from './waitUntilDrained.js';

/** Numbers of what a host has begun and not ended. @internal */
export interface OpenWork {
  readonly activeRequests: number;
  /** Responses that callers have not received in full. */
  readonly responses: number;
  /** Groups of pieces that wait or run. */
  readonly groups: number;
  /** Connections that the host carries for others. */
  readonly carried: number;
}

/** The planned stop of a host. @internal */
export interface HostStop {
  readonly isStopping: () => boolean;
  /** Whether the host stops too soon to finish new requests. */
  readonly isRejecting: () => boolean;
  /** Returns the monotonic time at which the deadline passes; undefined before the stop. */
  readonly findEndAt: () => number | undefined;
  readonly deadline: StopDeadline;
  /**
   * Stops the host, once; resolves when its process may end. `cause` is for the log.
   */
  readonly run: (cause: string) => Promise<void>;
}

/** Options of {@link createHostStop}. @internal */
export interface HostStopOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns the time between the start of the stop and the forced end, in milliseconds. */
  readonly findGraceMs: () => number;
  readonly countWork: () => OpenWork;
  /** Tells other hosts that this one stops. */
  readonly announce: () => void;
  /** Breaks off the responses that have not ended, so that callers can tell. */
  readonly abortResponses: () => void;
  /** Returns the longest recent delay of this process's event loop, in milliseconds. */
  readonly findLoopDelayMs: () => number;
}

/**
 * Creates the stop of a host that runs.
 *
 * @param options - see {@link HostStopOptions}
 * @returns the stop, not begun
 * @internal
 */
export function createHostStop(options: HostStopOptions): HostStop {
  const { clock, logger, countWork } = options;
  const deadline = createStopDeadline();
  let endAt: number | undefined;
  let isRejecting = false;
  let stopped: Promise<void> | undefined;

  async function run(cause: string): Promise<void> {
    const since = clock.now();
    const graceMs = options.findGraceMs();
    endAt = computeStopEndAt(since, graceMs);
    const findLoopDelayMs = () => Math.round(options.findLoopDelayMs());
    logger.info('stopping', {
      ...countWork(),
      graceMs,
      cause,
      loopDelayMs: findLoopDelayMs(),
    });
    options.announce();
    await waitUntilDrained({
      clock,
      since,
      graceMs,
      isIdle: () => Object.values(countWork()).every((count) => count === 0),
      onBalancerSwitched: () => (isRejecting = true),
      onAnswersDue() {
        if (!deadline.hasPassed()) logger.info('answering open requests', { ...countWork() });
        deadline.end();
      },
    });
    const { activeRequests: cutOff, ...rest } = countWork();
    logger.info('stopped', {
      cutOff,
      ...rest,
      durationMs: Math.round(clock.now() - since),
      loopDelayMs: findLoopDelayMs(),
    });
    options.abortResponses();
  }

  return {
    isStopping: () => endAt !== undefined,
    isRejecting: () => isRejecting,
    findEndAt: () => endAt,
    deadline,
    run(cause) {
      if (stopped !== undefined) logger.info('already stopping', { ...countWork(), cause });
      return (stopped ??= run(cause));
    },
  };
}
