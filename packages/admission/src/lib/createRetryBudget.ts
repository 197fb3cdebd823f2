/** Default for the balance that a budget starts with and cannot exceed, in retries. */
const DEFAULT_MAX_BALANCE_RETRIES = 20;

/**
 * Limits retries and hedges to a share of first attempts, so that retries cannot multiply the load
 * while backend servers fail.
 *
 * @public
 */
export interface RetryBudget {
  /** Counts a first attempt, which adds a fraction of a retry to the balance. */
  recordFirstAttempt(): void;
  /** Returns whether the balance is at least one retry. */
  readonly mayWithdraw: () => boolean;
  /** Withdraws one retry; returns false if the balance is below one. */
  tryWithdraw(): boolean;
  /** Returns the number of first attempts and of retries so far. */
  readonly counts: () => { readonly firstTries: number; readonly retries: number };
}

/**
 * Creates a retry budget.
 *
 * @param getRetryShare - returns the fraction of a retry that a first attempt adds, from 0 to 1
 * @param getMaxBalance - returns the maximum balance, in retries
 * @returns a budget with the maximum balance
 * @public
 */
export function createRetryBudget(
  getRetryShare: () => number,
  getMaxBalance: () => number = () => DEFAULT_MAX_BALANCE_RETRIES,
): RetryBudget {
  let balance = getMaxBalance();
  let firstTries = 0;
  let retries = 0;
  return {
    recordFirstAttempt() {
      firstTries += 1;
      balance = Math.min(getMaxBalance(), balance + getRetryShare());
    },
    mayWithdraw: () => balance >= 1,
    tryWithdraw() {
      if (balance < 1) return false;
      balance -= 1;
      retries += 1;
      return true;
    },
    counts: () => ({ firstTries, retries }),
  };
}
