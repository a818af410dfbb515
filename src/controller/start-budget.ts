/**
 * Limits how fast a leader that has no time left starts deferrable work. Each start takes the leader calls, writes and
 * reports of its time. Past its limit all of them come late, and urgent work, which has the least slack, is the first that
 * is of no use to its callers. Deferrable work then waits in the planner, where its wait is known and published, and not
 * unseen in front of the event loop.
 *
 * A token bucket, whose rate follows the time that the event loop has left: it falls while there is none and rises while
 * there is some.
 */
import { createUtilizationMeter } from './spare-time.js';

export interface StartBudget {
  /** Tasks of deferrable work that may be started now; infinite while the leader has time left. */
  readonly left: number;
  /** Counts started tasks of deferrable work. */
  take(tasks: number): void;
}

export interface StartBudgetOptions {
  /** Share of the time since its last call in which the event loop had work. */
  readonly utilization?: () => number;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

const INTERVAL_MS = 200;
/** Start of a term that sets no limit: a new leader reads all jobs at once, whatever it is going to start. */
const SETTLING_MS = 1500;
/** With less time left, whatever arrives waits behind all that has arrived before. */
const BUSY_SHARE = 0.95;
const SPARE_SHARE = 0.85;
/** Parts by which the limit changes in an interval. */
const DECREASE = 0.85;
const INCREASE = 1.1;
/** Deferrable work goes on at this rate, however busy the leader is, so that none of it waits for good. */
const MIN_PER_SECOND = 20;
/** The limit ends when it is this many times what is started. */
const UNUSED_FACTOR = 2;
/** Weight of the last interval in the smoothed rate of starts. */
const SMOOTHING = 0.3;

/** A budget without a limit. */
export const UNLIMITED_STARTS: StartBudget = {
  left: Infinity,
  take: () => undefined,
};

export function createStartBudget(options: StartBudgetOptions = {}): StartBudget {
  const { utilization = createUtilizationMeter(), now = () => performance.now() } = options;
  let perSecond = 0;
  let limitPerSecond = Infinity;
  let tokens = 0;
  let taken = 0;
  const createdAt = now();
  let updatedAt = createdAt;

  function update() {
    const elapsedMs = now() - updatedAt;
    if (elapsedMs < INTERVAL_MS) return;
    updatedAt = now();
    const elapsedS = elapsedMs / 1000;
    perSecond += (taken / elapsedS - perSecond) * SMOOTHING;
    taken = 0;
    const share = utilization();
    if (updatedAt - createdAt < SETTLING_MS) return;
    if (share >= BUSY_SHARE) {
      limitPerSecond = Math.max(MIN_PER_SECOND, Math.min(limitPerSecond, perSecond) * DECREASE);
    } else if (share < SPARE_SHARE) {
      limitPerSecond *= INCREASE ** (elapsedMs / INTERVAL_MS);
      const unused = UNUSED_FACTOR * Math.max(perSecond, MIN_PER_SECOND);
      if (limitPerSecond > unused) limitPerSecond = Infinity;
    }
    // What an interval leaves unused is not saved for a burst.
    tokens = Math.min(0, tokens) + limitPerSecond * elapsedS;
  }

  return {
    get left() {
      update();
      return limitPerSecond === Infinity ? Infinity : Math.max(0, Math.floor(tokens));
    },
    take: (tasks) => {
      taken += tasks;
      if (limitPerSecond !== Infinity) tokens -= tasks;
    },
  };
}
