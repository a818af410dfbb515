/**
 * Answers the pattern "hosts of unlike strength": the leader of a large pool needs more processor time than a
 * small host has, so small hosts let stronger ones lead and lead only where no strong host takes the office.
 */
import { pause } from '../records/index.js';

/** A host with at least this part of the strongest host's processors leads as well as that one. */
const SIMILAR_PART = 0.8;
/**
 * Wait of a weak candidate before it tries. Covers the random delay of strong hosts, 80 ms at most, and their three
 * calls to the store at its usual 4 ms; while the store is slow a weak host may win, and hands over later.
 */
const DEFERENCE_MS = 300;
/** A new leader reads all jobs first, and stronger hosts connect meanwhile. */
const SETTLING_MS = 1500;
/** A strong host that cannot take the office must not make weak ones pass it round. */
const MIN_INTERVAL_MS = 15_000;

/** Whether a host with so many processors should let another one lead. */
export function isWeak(processors: number, strongest: number): boolean {
  return processors < strongest * SIMILAR_PART;
}

/** Gives stronger hosts the first chance in an election. */
export async function deferToStronger(processors: number, strongest: number): Promise<void> {
  if (isWeak(processors, strongest)) await pause(DEFERENCE_MS);
}

export interface StrengthMonitor {
  /** This host began to lead. */
  startTerm(nowMs: number): void;
  /** Whether to hand over now that the strongest connected host has so many processors. */
  shouldYield(strongest: number, nowMs: number): boolean;
}

export function createStrengthMonitor(processors: number): StrengthMonitor {
  let began = Infinity;
  let yieldedAt = -Infinity;
  return {
    startTerm: (nowMs) => {
      began = nowMs;
    },
    shouldYield: (strongest, nowMs) => {
      if (!isWeak(processors, strongest) || nowMs - began < SETTLING_MS) return false;
      if (nowMs - yieldedAt < MIN_INTERVAL_MS) return false;
      yieldedAt = nowMs;
      return true;
    },
  };
}
