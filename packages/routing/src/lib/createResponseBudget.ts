/** A response that takes memory while it is received. @public */
export interface BudgetHolder {
  /** Stops receiving the response. */
  readonly abort: (reason: Error) => void;
}

/**
 * Limits the memory of all responses that a process is receiving. Servers in trouble may send
 * bodies without end to many calls at once.
 *
 * @public
 */
export interface ResponseBudget {
  /** Adds received bytes to a holder; aborts the largest holder if the budget is exceeded. */
  add(holder: BudgetHolder, bytes: number): void;
  /** Sets the bytes of a holder; aborts the largest holder if the budget is exceeded. */
  set(holder: BudgetHolder, bytes: number): void;
  /** Removes a holder whose response has ended. */
  release(holder: BudgetHolder): void;
}

/**
 * Creates a budget without holders.
 *
 * @param maxBytes - memory of all responses together, in bytes
 * @returns the budget
 * @public
 */
export function createResponseBudget(maxBytes: number): ResponseBudget {
  const holders = new Map<BudgetHolder, number>();
  let total = 0;

  function release(holder: BudgetHolder): void {
    total -= holders.get(holder) ?? 0;
    holders.delete(holder);
  }

  function set(holder: BudgetHolder, bytes: number): void {
    release(holder);
    if (bytes === 0) return;
    holders.set(holder, bytes);
    total += bytes;
    if (total <= maxBytes) return;
    const [largest] = [...holders].sort(([, first], [, second]) => second - first);
    if (largest === undefined) return;
    release(largest[0]);
    largest[0].abort(new Error(`responses exceed ${maxBytes} bytes of memory`));
  }

  return {
    add: (holder, bytes) => set(holder, (holders.get(holder) ?? 0) + bytes),
    set,
    release,
  };
}
