/**
 * Detects a leader on a machine that has become slow, on which placement for the whole cell would be slow too. A
 * leader whose event loop is late most of the time yields the leadership to another host.
 */

/** Long enough that one garbage collection or one large listing does not dominate the window. */
const WINDOW_MS = 1000;
/** Share of the window in which the event loop is late; a busy leader on a healthy host stays below a quarter. */
const OVERLOADED_SHARE = 0.5;
/** Start of a term that is ignored: a new leader reads all jobs at once, which says nothing about its host. */
const SETTLING_MS = 1500;
/** Shortest time between two hand-overs, so that hosts that are slow in turn do not pass the leadership around. */
const MIN_INTERVAL_MS = 10_000;

export interface LoadMonitor {
  /** Called when this host starts to lead. */
  startTerm(nowMs: number): void;
  /** Records by how much a timer was late and returns whether this host should yield the leadership. */
  note(delayMs: number, nowMs: number): boolean;
}

export function createLoadMonitor(): LoadMonitor {
  let delays: { readonly delayMs: number; readonly atMs: number }[] = [];
  let startedAt = Infinity;
  let yieldedAt = -Infinity;
  return {
    startTerm: (nowMs) => {
      startedAt = nowMs;
      delays = [];
    },
    note: (delayMs, nowMs) => {
      if (nowMs - startedAt < SETTLING_MS) return false;
      delays = [...delays, { delayMs, atMs: nowMs }].filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
      if (nowMs - yieldedAt < MIN_INTERVAL_MS) return false;
      const totalDelayMs = delays.reduce((sum, { delayMs: late }) => sum + late, 0);
      if (totalDelayMs < WINDOW_MS * OVERLOADED_SHARE) return false;
      yieldedAt = nowMs;
      return true;
    },
  };
}
