/**
 * Bounds retries to a fraction of the successes, so that retries cannot multiply the load of an
 * overloaded or failing cell.
 */

/** Retries allowed per success. */
const RETRIES_PER_SUCCESS = 0.1;
/** Retries allowed before any success, and the most that can be saved up. */
const BURST = 20;

export interface RetryBudget {
  noteSuccess(): void;
  /** Takes one retry from the budget; false if it is used up. */
  take(): boolean;
}

export function createRetryBudget(burst = BURST): RetryBudget {
  let tokens = burst;
  return {
    noteSuccess: () => {
      tokens = Math.min(burst, tokens + RETRIES_PER_SUCCESS);
    },
    take: () => {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
