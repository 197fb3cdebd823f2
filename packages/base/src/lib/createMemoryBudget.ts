/** A message that takes memory while it is received. @public */
export interface MemoryHolder {
  /** Stops receiving the message. */
  readonly abort: (reason: Error) => void;
}

/**
 * Limits the memory of all messages that a process is receiving. Peers in trouble may send some
 * without end on many connections at once.
 *
 * @public
 */
export interface MemoryBudget {
  /** Adds received bytes to a holder; aborts the largest holder if the budget is exceeded. */
  add(holder: MemoryHolder, bytes: number): void;
  /** Sets the bytes of a holder; aborts the largest holder if the budget is exceeded. */
  set(holder: MemoryHolder, bytes: number): void;
  /** Removes a holder whose message has ended. */
  release(holder: MemoryHolder): void;
}

/**
 * Creates a budget without holders.
 *
 * @param maxBytes - memory of all messages together, in bytes
 * @returns the budget
 * @public
 */
export function createMemoryBudget(maxBytes: number): MemoryBudget {
  const holders = new Map<MemoryHolder, number>();
  let total = 0;

  function release(holder: MemoryHolder): void {
    total -= holders.get(holder) ?? 0;
    holders.delete(holder);
  }

  function set(holder: MemoryHolder, bytes: number): void {
    release(holder);
    if (bytes === 0) return;
    holders.set(holder, bytes);
    total += bytes;
    if (total <= maxBytes) return;
    const [largest] = [...holders].sort(([, first], [, second]) => second - first);
    if (largest === undefined) return;
    release(largest[0]);
    largest[0].abort(new Error(`messages exceed ${maxBytes} bytes of memory`));
  }

  return {
    add: (holder, bytes) => set(holder, (holders.get(holder) ?? 0) + bytes),
    set,
    release,
  };
}
