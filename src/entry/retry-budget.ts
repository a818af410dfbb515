/**
 * Bounds retries to a fraction of the successes, so that retries cannot multiply the load of an
 * overloaded or failing cell.
 */

/** Successes that allow one retry. */
const SUCCESSES_PER_RETRY = 10;
/** Retries that are allowed before any success, and the most that can accumulate. */
const BURST = 20;

export interface RetryBudget {
  recordSuccess(): void;
  /** Takes one retry from the budget; false if it is used up. */
  take(): boolean;
}

export function createRetryBudget(burst = BURST): RetryBudget {
  /** Counted in successes, because tenths of a retry do not add up exactly. */
  let credit = burst * SUCCESSES_PER_RETRY;
  return {
    recordSuccess: () => {
      credit = Math.min(burst * SUCCESSES_PER_RETRY, credit + 1);
    },
    take: () => {
      if (credit < SUCCESSES_PER_RETRY) return false;
      credit -= SUCCESSES_PER_RETRY;
      return true;
    },
  };
}
