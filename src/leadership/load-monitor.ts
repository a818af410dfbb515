/**
 * Answers the pattern "the leader's machine turned slow": placement for the whole cell would run at the pace of
 * one slow host. A leader whose event loop is late most of the time gives the office to another host.
 */

/** Long enough to span a garbage collection or the reading of a large listing. */
const WINDOW_MS = 1000;
/** Part of the window in which the event loop was late; a busy leader on a sound host stays below a quarter. */
const OVERLOADED_PART = 0.5;
/** A new leader reads all jobs at once, which says nothing about its host. */
const SETTLING_MS = 1500;
/** Hosts that are slow in turn must not hand the office round all the time. */
const MIN_INTERVAL_MS = 10_000;

export interface LoadMonitor {
  /** This host began to lead. */
  startTerm(nowMs: number): void;
  /** Notes by how much a timer was late; returns whether the host should stop leading. */
  note(delayMs: number, nowMs: number): boolean;
}

export function createLoadMonitor(): LoadMonitor {
  let delays: { readonly delayMs: number; readonly atMs: number }[] = [];
  let began = Infinity;
  let yieldedAt = -Infinity;
  return {
    startTerm: (nowMs) => {
      began = nowMs;
      delays = [];
    },
    note: (delayMs, nowMs) => {
      if (nowMs - began < SETTLING_MS) return false;
      delays = [...delays, { delayMs, atMs: nowMs }].filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
      if (nowMs - yieldedAt < MIN_INTERVAL_MS) return false;
      const lateMs = delays.reduce((sum, { delayMs: late }) => sum + late, 0);
      if (lateMs < WINDOW_MS * OVERLOADED_PART) return false;
      yieldedAt = nowMs;
      return true;
    },
  };
}
