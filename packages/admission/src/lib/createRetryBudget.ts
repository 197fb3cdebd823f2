/** Retries that may be saved up, and that a fresh budget starts with, unless told otherwise. */
const MAX_SAVED_RETRIES = 20;

/**
 * Bounds retries and hedges to a share of first tries, so that a fleet under failure cannot
 * multiply its own load.
 *
 * @public
 */
export interface RetryBudget {
  /** Counts a first try, which earns a part of a retry. */
  recordFirstAttempt(): void;
  /** Takes one retry out of the budget; false when there is none. */
  tryWithdraw(): boolean;
  /** First tries and retries so far. */
  readonly counts: () => { readonly firstTries: number; readonly retries: number };
}

/**
 * Creates a budget.
 *
 * @param findShare - retries earned by one first try, from 0 to 1
 * @param findMaxSaved - the most retries saved up
 * @returns a full budget
 * @public
 */
export function createRetryBudget(
  findShare: () => number,
  findMaxSaved: () => number = () => MAX_SAVED_RETRIES,
): RetryBudget {
  let balance = findMaxSaved();
  let firstTries = 0;
  let retries = 0;
  return {
    recordFirstAttempt() {
      firstTries += 1;
      balance = Math.min(findMaxSaved(), balance + findShare());
    },
    tryWithdraw() {
      if (balance < 1) return false;
      balance -= 1;
      retries += 1;
      return true;
    },
    counts: () => ({ firstTries, retries }),
  };
}
