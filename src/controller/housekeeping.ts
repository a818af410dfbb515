/**
 * Periodic tasks of the leader: starts due occurrences, publishes the backlog of each queue and the open work, and
 * removes the records of jobs that ended long ago.
 */
import { getHeapStatistics } from 'node:v8';
import type { Job } from '../jobs/index.js';
import {
  beginOccurrence,
  estimateOccurrenceBytes,
  isFinal,
  JOB_STORE_KEYS,
  MAX_JOB_BYTES,
  nextDueMs,
} from '../jobs/index.js';
import { encodeOpenWork, OPEN_WORK_KEY } from '../leadership/index.js';
import type { EventLog, FaultContainment } from '../observability/index.js';
import type { Condition, KeyValueStore } from '../records/index.js';
import type { Cell, JobEntry } from './cell.js';
import { createLeaderRecord } from './leader-record.js';

const BACKLOG_INTERVAL_MS = 400;
const DUE_INTERVAL_MS = 50;
/** Finished jobs are kept for callers for this long; the platform requires 120 s. */
const KEEP_FINISHED_MS = 150_000;
/**
 * Bounds of the open occurrences of a job and of their tasks. The others begin as earlier ones end, so that a job that
 * is due very often does not exhaust the memory of the leader.
 */
const MAX_OPEN_OCCURRENCES = 500;
const MAX_OPEN_TASKS = 100_000;
/** Part of the heap for open jobs; planning and what runs need the rest. */
const OPEN_WORK_SHARE = 0.4;
/** Three keys for each job and the leader's condition have to fit into one transaction. */
const REMOVALS_PER_SWEEP = 10;

export interface Housekeeping {
  /** Starts all occurrences of the job that are due. */
  beginDueOccurrences(entry: JobEntry): void;
  close(): void;
}

export interface HousekeepingOptions {
  readonly store: KeyValueStore;
  readonly cell: Cell;
  /** A transaction condition that holds as long as this host leads. */
  readonly condition: () => Condition;
  /** Whether all jobs have been restored and the term has not ended. */
  readonly active: () => boolean;
  /** Ended jobs, with the time at which they ended or this leader read their records. */
  readonly finishedJobs: Map<string, number>;
  /** The most bytes of memory that open jobs may take up. */
  readonly openBytesLimit?: number;
  readonly onChange: () => void;
  /** Keeps an error that one job causes away from the others. */
  readonly contain: FaultContainment['contain'];
  readonly events: EventLog;
}

export function createHousekeeping(options: HousekeepingOptions): Housekeeping {
  const { store, cell, finishedJobs, events } = options;
  const { openBytesLimit = OPEN_WORK_SHARE * getHeapStatistics().heap_size_limit } = options;

  function beginDueOccurrences(entry: JobEntry) {
    const maxOpen = maxOpenOccurrences(entry.progress.job);
    let due = nextDueMs(entry.progress);
    while (due !== undefined && due <= Date.now() && !isFinal(entry.progress.state)) {
      const open = entry.progress.occurrences.size;
      if (open >= maxOpen || (open > 0 && cell.openBytes > openBytesLimit)) return;
      beginOccurrence(entry.progress);
      cell.refresh(entry);
      options.onChange();
      due = nextDueMs(entry.progress);
    }
  }

  function beginAllDue() {
    for (const entry of cell.scheduled) {
      options.contain('occurrence', { job: entry.progress.job.id }, () => {
        beginDueOccurrences(entry);
      });
    }
  }

  let publishedBacklog = '';
  async function publishBacklog() {
    if (!options.active()) return;
    const backlog = JSON.stringify(cell.countPending());
    if (backlog === publishedBacklog) return;
    const outcome = await store.transact({
      conditions: [options.condition()],
      writes: [{ key: JOB_STORE_KEYS.backlog, value: backlog }],
    });
    if (outcome.isOk() && outcome.value.kind === 'committed') publishedBacklog = backlog;
  }

  const openWork = createLeaderRecord({
    store,
    key: OPEN_WORK_KEY,
    condition: options.condition,
  });
  async function publishOpenWork() {
    if (!options.active()) return;
    const { openBytes } = cell;
    await openWork.write(encodeOpenWork({ openBytes, limitBytes: openBytesLimit }));
  }

  async function removeOldJobs() {
    const before = Date.now() - KEEP_FINISHED_MS;
    const old = [...finishedJobs]
      .filter(([, finishedAtMs]) => finishedAtMs < before)
      .slice(0, REMOVALS_PER_SWEEP)
      .map(([id]) => id);
    if (old.length === 0) return;
    const removals = old.flatMap((id) => [
      JOB_STORE_KEYS.job(id),
      JOB_STORE_KEYS.cancellation(id),
      JOB_STORE_KEYS.progressOf(id),
    ]);
    const outcome = await store.transact({
      conditions: [options.condition()],
      writes: [],
      removals,
    });
    if (outcome.isErr() || outcome.value.kind !== 'committed') return;
    for (const id of old) finishedJobs.delete(id);
    events.info('finished-jobs-removed', { jobs: old.length });
  }

  const timers = [
    setInterval(beginAllDue, DUE_INTERVAL_MS),
    setInterval(() => void publishBacklog(), BACKLOG_INTERVAL_MS),
    setInterval(() => void publishOpenWork(), BACKLOG_INTERVAL_MS),
    setInterval(() => void removeOldJobs(), BACKLOG_INTERVAL_MS),
  ];
  for (const timer of timers) timer.unref();

  return {
    beginDueOccurrences,
    close: () => {
      for (const timer of timers) clearInterval(timer);
    },
  };
}

function maxOpenOccurrences(job: Job): number {
  const tasks = job.steps.reduce((sum, { count }) => sum + count, 0);
  const byTasks = Math.floor(MAX_OPEN_TASKS / tasks);
  const byBytes = Math.floor(MAX_JOB_BYTES / estimateOccurrenceBytes(job));
  return Math.max(1, Math.min(MAX_OPEN_OCCURRENCES, byTasks, byBytes));
}
