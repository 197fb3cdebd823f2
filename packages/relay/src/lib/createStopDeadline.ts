/**
 * The time by which a stopping host answers each request that has no response yet.
 *
 * @public
 */
export interface StopDeadline {
  readonly hasPassed: () => boolean;
  /** Calls back when it passes, at once if it has; returns a function that cancels this. */
  watch(callback: () => void): () => void;
}

/** The deadline with the function that lets it pass. @public */
export interface StopDeadlineControl extends StopDeadline {
  /** Lets the deadline pass; further calls do nothing. */
  end(): void;
}

/**
 * Creates the deadline of a host that does not stop yet.
 *
 * @returns the deadline
 * @public
 */
export function createStopDeadline(): StopDeadlineControl {
  const callbacks = new Set<() => void>();
  let hasPassed = false;
  return {
    hasPassed: () => hasPassed,
    watch(callback) {
      if (hasPassed) {
        callback();
        return () => undefined;
      }
      // A function of its own, because a callback may be watched twice.
      const call = () => callback();
      callbacks.add(call);
      return () => void callbacks.delete(call);
    },
    end() {
      if (hasPassed) return;
      hasPassed = true;
      for (const call of callbacks) call();
      callbacks.clear();
    },
  };
}
