import type { Clock } from './clock.js';
import { isAborted, NO_LONGER_NEEDED, waitFor } from './clock.js';

const INITIAL_RESTART_DELAY_MS = 100;
const MAX_RESTART_DELAY_MS = 5_000;

/** A long-running operation that ends when its signal aborts. @public */
export type Task = (signal: AbortSignal) => Promise<void>;

/**
 * A node of the tree that owns all long-running tasks of a process.
 *
 * @public
 */
export interface Supervisor {
  readonly name: string;
  /**
   * Starts a task; a task that throws is restarted with exponential backoff.
   *
   * @returns a function that stops the task and resolves when it has ended
   */
  spawn(name: string, task: Task): () => Promise<void>;
  /** Creates a child node, which stops with this one. */
  createChild(name: string): Supervisor;
  /** Stops all tasks and child nodes in reverse order of their start, and waits for each to end. */
  readonly stop: () => Promise<void>;
}

/**
 * Options of a supervisor.
 *
 * @public
 */
export interface SupervisorOptions {
  readonly clock: Clock;
  /** Called with the path of a task that threw, and with the thrown value. */
  readonly onCrash: (path: string, error: unknown) => void;
}

/** Runs a task until it ends; returns the thrown value, wrapped because it can be undefined. */
async function runAndCatch(
  task: Task,
  signal: AbortSignal,
): Promise<{ cause: unknown } | undefined> {
  try {
    await task(signal);
    return undefined;
  } catch (cause) {
    return { cause };
  }
}

/**
 * Creates the root node of a supervisor tree.
 *
 * @param name - first segment of the paths of its tasks
 * @param options - see {@link SupervisorOptions}
 * @returns the root node
 * @public
 */
export function createSupervisor(name: string, options: SupervisorOptions): Supervisor {
  const stopFunctions = new Set<() => Promise<void>>();

  async function runTask(path: string, task: Task, signal: AbortSignal): Promise<void> {
    for (let restartDelayMs = INITIAL_RESTART_DELAY_MS; !signal.aborted;) {
      const crash = await runAndCatch(task, signal);
      if (crash === undefined || isAborted(signal)) return;
      options.onCrash(path, crash.cause);
      await waitFor(options.clock, restartDelayMs, signal);
      restartDelayMs = Math.min(MAX_RESTART_DELAY_MS, restartDelayMs * 2);
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
        stopFunctions.delete(stop);
      };
      stopFunctions.add(stop);
      void ended.then(() => stopFunctions.delete(stop));
      return stop;
    },
    createChild(childName) {
      const child = createSupervisor(`${name}/${childName}`, options);
      stopFunctions.add(child.stop);
      return child;
    },
    async stop() {
      for (const stop of [...stopFunctions].reverse()) await stop();
      stopFunctions.clear();
    },
  };
}
