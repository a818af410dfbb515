/**
 * Answers a query for the state of a job that may be about to end. Callers ask as soon as the last task of their job has
 * ended, and the record of that end takes about 30 ms to become durable. Answered at once, they hear of the end only with
 * their next query, some hundred milliseconds later, which is most of the slack of urgent work. A query that shows a
 * running job therefore reads the state again after short pauses.
 */
import { pause } from '../records/index.js';
import type { StateAnswer } from './caller-service.js';

/** The end of a task is recorded within about 30 ms; a busy leader or a store that is slower takes up to 100 ms. */
const PAUSES_MS = [30, 60] as const;
/** A shorter wait would seldom see the end. */
const MIN_WAIT_MS = 25;
/** Part of the queue's target latency that a query may wait. */
const WAIT_SHARE = 0.25;

export interface EndWait {
  readonly read: () => Promise<StateAnswer>;
  /** Target latency of the job's queue in milliseconds; without one, nobody waits for its jobs. */
  readonly targetLatencyMs: number;
  readonly sleep?: (ms: number) => Promise<void>;
}

/** Reads the state of a job, and again within a part of its queue's target latency while the job is running. */
export async function readStateNearEnd(options: EndWait): Promise<StateAnswer> {
  const { read, targetLatencyMs, sleep = pause } = options;
  let leftMs = WAIT_SHARE * targetLatencyMs;
  let shown = await read();
  for (const pauseMs of PAUSES_MS) {
    if (shown !== 'running' || leftMs < MIN_WAIT_MS) return shown;
    const waitMs = Math.min(pauseMs, leftMs);
    await sleep(waitMs);
    leftMs -= waitMs;
    const next = await read();
    // What was read before holds as well, and an answer is better than none.
    if (next === 'unavailable') return shown;
    shown = next;
  }
  return shown;
}
