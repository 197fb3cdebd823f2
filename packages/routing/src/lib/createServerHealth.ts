import { createStateMachine, type Clock, type Random } from '@endiveferry/base';

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
/** Maximum before jitter, which lengthens an ejection to at most twice this time. */
const MAX_EJECTION_MS = 30_000;
/** Successes that end probation; each one raises the allowed concurrency by one. */
const SUCCESSES_TO_RECOVER = 5;

/** Whether a backend server may be sent calls. @public */
export type HealthState = 'healthy' | 'ejected' | 'probation';

/**
 * Health of one backend server, judged by the outcome of calls.
 *
 * @public
 */
export interface ServerHealth {
  readonly state: () => HealthState;
  recordSuccess(): void;
  /** Records a failed call; `canEject` is false if too much of the pool is ejected already. */
  recordFailure(canEject: boolean): void;
  /** Returns the maximum concurrency that the health allows. */
  readonly maxConcurrency: () => number;
}

/**
 * Creates the health of a server without any calls yet. Consecutive failures eject the server;
 * later it is on probation with one call at a time, and each success allows one more, so that a
 * recovering server is not overloaded.
 *
 * @param clock - measures the length of ejections
 * @param random - adds jitter to the length of ejections
 * @param onChange - called with each new state
 * @returns the health, initially healthy
 * @public
 */
export function createServerHealth(
  clock: Clock,
  random: Random,
  onChange: (state: HealthState) => void,
): ServerHealth {
  let consecutiveFailures = 0;
  let consecutiveSuccesses = 0;
  let ejections = 0;
  let ejectedUntil = 0;
  const machine = createStateMachine<HealthState, 'eject' | 'try' | 'recover'>(
    'healthy',
    {
      healthy: { eject: 'ejected' },
      ejected: { try: 'probation' },
      probation: { eject: 'ejected', recover: 'healthy' },
    },
    onChange,
  );

  function eject(): void {
    const durationMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2 ** ejections);
    ejections += 1;
    ejectedUntil = clock.now() + durationMs * (1 + random.nextFraction());
    machine.send('eject');
  }

  function updateState(): HealthState {
    if (machine.current() === 'ejected' && clock.now() >= ejectedUntil) {
      consecutiveSuccesses = 0;
      machine.send('try');
    }
    return machine.current();
  }

  return {
    state: updateState,
    recordSuccess() {
      consecutiveFailures = 0;
      consecutiveSuccesses += 1;
      if (updateState() !== 'probation' || consecutiveSuccesses < SUCCESSES_TO_RECOVER) return;
      ejections = 0;
      machine.send('recover');
    },
    recordFailure(canEject) {
      consecutiveFailures += 1;
      consecutiveSuccesses = 0;
      const state = updateState();
      const shouldEject = state === 'probation' || consecutiveFailures >= FAILURES_TO_EJECT;
      if (state !== 'ejected' && shouldEject && canEject) eject();
    },
    maxConcurrency() {
      const state = updateState();
      if (state === 'healthy') return Infinity;
      return state === 'ejected' ? 0 : 1 + consecutiveSuccesses;
    },
  };
}
