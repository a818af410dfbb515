/**
 * When a worker's lease is renewed and how long each renewal waits at the worker: soon while the effect of an order is
 * uncertain, seldom while nothing runs.
 */
import { stallTimeoutMs } from './run.js';
import type { Run } from './run.js';

/** Time that a renewal waits at the worker for the end of a run; less than a sixth of the lease. */
const RENEWAL_WAIT_MS = 900;
/** Least interval between renewals after one that failed. */
const RETRY_MS = 150;
/** Time that a renewal waits while the effect of a start or stop is uncertain, so that the next report comes soon. */
const UNCERTAIN_WAIT_MS = 100;
/**
 * Least interval between renewals, which are answered at once while runs end. Members of a gang and tasks of a step end
 * within milliseconds of each other, and one answer then reports them all.
 */
const MIN_PAUSE_MS = 20;
/**
 * Least interval between renewals while ends are not durable. A worker answers at once as long as it has ends that are
 * not acknowledged.
 */
const UNACKNOWLEDGED_PAUSE_MS = 120;

/** Short while a run's state is uncertain, and no longer than until the next run could count as stalled. */
export function chooseWaitMs(runs: Iterable<Run>, foreignRuns: number): number {
  if (foreignRuns > 0) return UNCERTAIN_WAIT_MS;
  const now = performance.now();
  let waitMs = RENEWAL_WAIT_MS;
  for (const run of runs) {
    if (run.status === 'in-doubt' || run.status === 'stopping') return UNCERTAIN_WAIT_MS;
    waitMs = Math.min(waitMs, run.progressedAt + stallTimeoutMs(run) - now);
  }
  return Math.max(UNCERTAIN_WAIT_MS, waitMs);
}

export interface RenewalState {
  /** Whether the last renewal was answered. */
  readonly answered: boolean;
  /** Whether the worker has nothing to do. */
  readonly idle: boolean;
  /** Whether any reported end is not durable. */
  readonly hasUnacknowledged: boolean;
  /** Whether the next renewal acknowledges ends that the worker still lists. */
  readonly acknowledges: boolean;
}

/**
 * Least time from the start of one renewal to the start of the next. An acknowledgement does not wait until the next
 * renewal of an idle worker, which could have started again by then and would drop ends of its own.
 */
export function choosePauseMs(state: RenewalState): number {
  if (!state.answered) return RETRY_MS;
  if (state.hasUnacknowledged) return UNACKNOWLEDGED_PAUSE_MS;
  return state.idle && !state.acknowledges ? RENEWAL_WAIT_MS : MIN_PAUSE_MS;
}
