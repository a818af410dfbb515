/**
 * Precedence of stronger hosts in elections. The leader of a large pool needs more processor time than a small host
 * has, so hosts with few processors lead only if no stronger host does.
 */
import { pause } from '../records/index.js';

/** A host with at least this share of the strongest host's processors is as fit to lead as that host. */
const SIMILAR_SHARE = 0.8;
/**
 * Delay of a weak candidate. Covers the random delay of strong hosts, 80 ms at most, and their three calls to the
 * store at its usual 4 ms each. While the store is slow, a weak host may win the election; it hands over later.
 */
const DEFERENCE_MS = 300;
/** Start of a term without a hand-over: a new leader reads all jobs first, and stronger hosts connect meanwhile. */
const SETTLING_MS = 1500;
/** Shortest time between hand-overs: weak hosts must not pass the leadership around if a strong one cannot take it. */
const MIN_INTERVAL_MS = 15_000;

/** Whether a host with this many processors should let the strongest host lead. */
export function isWeak(processors: number, strongest: number): boolean {
  return processors < strongest * SIMILAR_SHARE;
}

/** Delays the candidacy of a weak host, so that stronger hosts try first. */
export async function deferToStronger(processors: number, strongest: number): Promise<void> {
  if (isWeak(processors, strongest)) await pause(DEFERENCE_MS);
}

export interface StrengthMonitor {
  /** Called when this host starts to lead. */
  startTerm(nowMs: number): void;
  /** Whether to hand over, given the processors of the strongest connected host. */
  shouldYield(strongest: number, nowMs: number): boolean;
}

export function createStrengthMonitor(processors: number): StrengthMonitor {
  let startedAt = Infinity;
  let yieldedAt = -Infinity;
  return {
    startTerm: (nowMs) => {
      startedAt = nowMs;
    },
    shouldYield: (strongest, nowMs) => {
      if (!isWeak(processors, strongest) || nowMs - startedAt < SETTLING_MS) return false;
      if (nowMs - yieldedAt < MIN_INTERVAL_MS) return false;
      yieldedAt = nowMs;
      return true;
    },
  };
}
