/**
 * Precedence of stronger hosts in elections. The leader of a large pool needs more processor time than a small host
 * has, so hosts with few processors lead only if no stronger host does.
 */
import type { EventLog } from '../observability/index.js';
import type { Condition, KeyValueStore } from '../records/index.js';
import { createLatestValueRecord, pause } from '../records/index.js';

/** Processors of the strongest host that any leader has seen; outlives the leader's term. */
export const STRONGEST_KEY = 'leadership/strongest';

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

export interface StrongestHostRecord {
  /** Writes the processors, unless they are recorded; called again until they are. */
  save(processors: number): Promise<void>;
}

export function createStrongestHostRecord(options: {
  readonly store: KeyValueStore;
  /** Holds as long as this host leads. */
  readonly condition: () => Condition;
  /** Processors according to the record at the beginning of the term. */
  readonly saved: number;
  readonly events: EventLog;
}): StrongestHostRecord {
  const record = createLatestValueRecord({ ...options, key: STRONGEST_KEY });
  let { saved } = options;
  return {
    save: async (processors) => {
      if (processors <= saved) return;
      if (await record.write(String(processors))) saved = processors;
      else options.events.debug('strongest-host-not-recorded', { processors });
    },
  };
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
