/** A message that takes memory while it is received. @public */
export interface MemoryHolder {
  /** Stops receiving the message. */
  readonly abort: (reason: Error) => void;
  /**
   * Returns the weight of the message when one has to be aborted, from the bytes that it takes;
   * 0 for one that cannot be aborted any more. By default the bytes are the weight.
   */
  readonly weigh?: (bytes: number) => number;
}

/**
 * Limits the memory of all messages that a process is receiving. Peers in trouble may send some
 * without end on many connections at once.
 *
 * @public
 */
export interface MemoryBudget {
  /** Adds received bytes to a holder; aborts the heaviest holder if the budget is exceeded. */
  add(holder: MemoryHolder, bytes: number): void;
  /** Sets the bytes of a holder; aborts the heaviest holder if the budget is exceeded. */
  set(holder: MemoryHolder, bytes: number): void;
  /** Removes a holder whose message has ended. */
  release(holder: MemoryHolder): void;
  /** Returns the bytes that all holders take. */
  readonly countBytes: () => number;
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

  function findHeaviest(): MemoryHolder | undefined {
    let heaviest: MemoryHolder | undefined;
    let maxWeight = 0;
    for (const [holder, bytes] of holders) {
      const weight = holder.weigh?.(bytes) ?? bytes;
      if (weight <= maxWeight) continue;
      heaviest = holder;
      maxWeight = weight;
    }
    return heaviest;
  }

  function set(holder: MemoryHolder, bytes: number): void {
    if (bytes === 0) {
      release(holder);
      return;
    }
    total += bytes - (holders.get(holder) ?? 0);
    holders.set(holder, bytes);
    while (total > maxBytes) {
      const heaviest = findHeaviest();
      if (heaviest === undefined) return;
      release(heaviest);
      heaviest.abort(new Error(`messages exceed ${maxBytes} bytes of memory`));
    }
  }

  return {
    add: (holder, bytes) => set(holder, (holders.get(holder) ?? 0) + bytes),
    set,
    release,
    countBytes: () => total,
  };
}
