import type { Clock } from '@endiveferry/base';

import type { ReportedLoad } from '../ports.js';

/** Response of a simulated server; `lost` is a connection that breaks off. @internal */
export type SimulatedAnswer = 'served' | 'rejected' | 'lost';

/** Options of {@link createSimulatedServer}. @internal */
export interface SimulatedServerOptions {
  readonly clock: Clock;
  readonly slots: number;
  /** Requests that may wait for a slot; the server rejects more. */
  readonly queueLimit: number;
  /** Returns the factor on the duration of work at a time. */
  readonly findSlowness: (now: number) => number;
}

/** A server of which only the duration of work, its slots and its queue are simulated. @internal */
export interface SimulatedServer {
  /** Accepts a request; `onEnd` gets its answer. */
  send(workMs: number, onEnd: (answer: SimulatedAnswer) => void): void;
  /** Loses all requests; further ones are lost until {@link SimulatedServer.start}. */
  crash(): void;
  start(): void;
  readonly load: () => ReportedLoad;
}

interface Work {
  remainingMs: number;
  readonly onEnd: (answer: SimulatedAnswer) => void;
}

/** Time between two steps of running work, in milliseconds. */
const STEP_MS = 5;

/**
 * Creates a running server. Its running work advances in steps, at the speed of each step.
 *
 * @param options - see {@link SimulatedServerOptions}
 * @returns the server
 * @internal
 */
export function createSimulatedServer(options: SimulatedServerOptions): SimulatedServer {
  const { clock, slots, queueLimit, findSlowness } = options;
  let running: Work[] = [];
  let waiting: Work[] = [];
  let isUp = true;
  let isStepping = false;

  function step(): void {
    isStepping = running.length > 0;
    if (!isStepping) return;
    clock.schedule(STEP_MS, () => {
      const doneMs = STEP_MS / findSlowness(clock.now());
      for (const work of running) work.remainingMs -= doneMs;
      const ended = running.filter(({ remainingMs }) => remainingMs <= 0);
      running = running.filter(({ remainingMs }) => remainingMs > 0);
      running.push(...waiting.splice(0, slots - running.length));
      for (const { onEnd } of ended) onEnd('served');
      step();
    });
  }

  return {
    send(workMs, onEnd) {
      if (!isUp) {
        onEnd('lost');
        return;
      }
      const work = { remainingMs: workMs, onEnd };
      if (running.length < slots) running.push(work);
      else if (waiting.length < queueLimit) waiting.push(work);
      else onEnd('rejected');
      if (!isStepping) step();
    },
    crash() {
      isUp = false;
      const lost = [...running, ...waiting];
      running = [];
      waiting = [];
      for (const { onEnd } of lost) onEnd('lost');
    },
    start() {
      isUp = true;
    },
    load: () => ({ running: running.length, waiting: waiting.length, slots }),
  };
}
