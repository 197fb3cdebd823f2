import { createStateMachine, type Clock, type Random } from '@endiveferry/base';

const FAILURES_TO_EJECT = 3;
const FIRST_EJECTION_MS = 2_000;
const MAX_EJECTION_MS = 30_000;
/** Successes on probation that end it; calls at once grow by one with each. */
const SUCCESSES_TO_RECOVER = 5;

/** Whether a backend server may be sent calls. @public */
export type HealthState = 'healthy' | 'ejected' | 'probation';

/**
 * What calls show of one backend server's health.
 *
 * @public
 */
export interface ServerHealth {
  readonly state: () => HealthState;
  recordSuccess(): void;
  /** Counts a call that failed; `canEject` is false when too many of the pool are out already. */
  recordFailure(canEject: boolean): void;
  /** How many calls at once its health allows. */
  readonly maxConcurrency: () => number;
}

/**
 * Creates the health of a server that nothing is known of. A row of failures ejects it; after a
 * while it is tried with one call, and each success allows one more, so that recovery is no rush.
 *
 * @param clock - times the ejections
 * @param random - spreads their ends
 * @param onChange - called with each new state
 * @returns the health
 * @public
 */
export function createServerHealth(
  clock: Clock,
  random: Random,
  onChange: (state: HealthState) => void,
): ServerHealth {
  let failuresInRow = 0;
  let successesInRow = 0;
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

  function readState(): HealthState {
    if (machine.current() === 'ejected' && clock.now() >= ejectedUntil) {
      successesInRow = 0;
      machine.send('try');
    }
    return machine.current();
  }

  return {
    state: readState,
    recordSuccess() {
      failuresInRow = 0;
      successesInRow += 1;
      if (readState() !== 'probation' || successesInRow < SUCCESSES_TO_RECOVER) return;
      ejections = 0;
      machine.send('recover');
    },
    recordFailure(canEject) {
      failuresInRow += 1;
      successesInRow = 0;
      const state = readState();
      const isOut = state === 'probation' || failuresInRow >= FAILURES_TO_EJECT;
      if (state !== 'ejected' && isOut && canEject) eject();
    },
    maxConcurrency() {
      const state = readState();
      if (state === 'healthy') return Infinity;
      return state === 'ejected' ? 0 : 1 + successesInRow;
    },
  };
}
