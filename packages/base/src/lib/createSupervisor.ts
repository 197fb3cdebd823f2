import type { Clock } from './clock.js';
import { isAborted, NO_LONGER_NEEDED, waitFor } from './clock.js';

const FIRST_RESTART_MS = 100;
const MAX_RESTART_MS = 5_000;

/** A long-lived piece of work; it ends when its signal aborts. @public */
export type Task = (signal: AbortSignal) => Promise<void>;

/**
 * One node of the tree that all long-lived work of a process hangs on.
 *
 * @public
 */
export interface Supervisor {
  readonly name: string;
  /** Starts a task; one that throws is started again after a growing wait. The result stops it. */
  spawn(name: string, task: Task): () => Promise<void>;
  /** Creates a node below this one. */
  createChild(name: string): Supervisor;
  /** Stops everything below, last started first, and waits until it has ended. */
  readonly stop: () => Promise<void>;
}

/**
 * Options of a supervisor.
 *
 * @public
 */
export interface SupervisorOptions {
  readonly clock: Clock;
  /** Called with the path of a task that threw. */
  readonly onCrash: (path: string, error: unknown) => void;
}

/** Runs a task to its end; the result holds what it threw, if anything. */
async function findCrash(task: Task, signal: AbortSignal): Promise<{ cause: unknown } | undefined> {
  try {
    await task(signal);
    return undefined;
  } catch (cause) {
    return { cause };
  }
}

/**
 * Creates the root of a supervisor tree.
 *
 * @param name - names the node in reports
 * @param options - see {@link SupervisorOptions}
 * @returns the node
 * @public
 */
export function createSupervisor(name: string, options: SupervisorOptions): Supervisor {
  const stops = new Set<() => Promise<void>>();

  async function runTask(path: string, task: Task, signal: AbortSignal): Promise<void> {
    for (let restartMs = FIRST_RESTART_MS; !signal.aborted;) {
      const error = await findCrash(task, signal);
      if (error === undefined || isAborted(signal)) return;
      options.onCrash(path, error.cause);
      await waitFor(options.clock, restartMs, signal);
      restartMs = Math.min(MAX_RESTART_MS, restartMs * 2);
    }
  }

  return {
    name,
    spawn(taskName, task) {
      const controller = new AbortController();
      const ended = runTask(`${name}/${taskName}`, task, controller.signal);
      const stop = async () => {
        controller.abort(NO_LONGER_NEEDED);
        await ended;
        stops.delete(stop);
      };
      stops.add(stop);
      void ended.then(() => stops.delete(stop));
      return stop;
    },
    createChild(childName) {
      const child = createSupervisor(`${name}/${childName}`, options);
      stops.add(child.stop);
      return child;
    },
    async stop() {
      for (const stop of [...stops].reverse()) await stop();
      stops.clear();
    },
  };
}
