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
import { createLatestValueRecord, MAX_TRANSACTION_ENTRIES } from '../records/index.js';
import type { Cell, JobEntry } from './cell.js';

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
/** Each job takes a condition and a removal, beside the leader's condition. */
const REMOVALS_PER_SWEEP = Math.floor((MAX_TRANSACTION_ENTRIES - 1) / 2);

/** A job that has ended, whose record is kept for callers. */
export interface FinishedJob {
  /** When it ended or this leader read its record, on the leader's clock. */
  readonly finishedAtMs: number;
  /** Revision of its record of progress. */
  readonly revision: number;
}

export interface Housekeeping {
  /** Starts all occurrences of the job that are due. */
  readonly beginDueOccurrences: (entry: JobEntry) => void;
  close(): void;
}

export interface HousekeepingOptions {
  readonly store: KeyValueStore;
  readonly cell: Cell;
  /** A transaction condition that holds as long as this host leads. */
  readonly condition: () => Condition;
  /** Whether all jobs have been restored and the term has not ended. */
  readonly active: () => boolean;
  readonly finishedJobs: Map<string, FinishedJob>;
  /** The most bytes of memory that open jobs may take up. */
  readonly openBytesLimit?: number;
  /** The leader's clock, on which finished jobs have their times. */
  readonly clock?: () => number;
  readonly onChange: () => void;
  /** Keeps an error that one job causes away from the others. */
  readonly contain: FaultContainment['contain'];
  readonly events: EventLog;
}

export function createHousekeeping(options: HousekeepingOptions): Housekeeping {
  const { store, cell, finishedJobs, events, clock = Date.now } = options;
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

  const backlog = createLatestValueRecord({
    store,
    key: JOB_STORE_KEYS.backlog,
    condition: options.condition,
  });
  async function publishBacklog() {
    if (options.active()) await backlog.write(JSON.stringify(cell.countPending()));
  }

  const openWork = createLatestValueRecord({
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
    const before = clock() - KEEP_FINISHED_MS;
    const old = [...finishedJobs]
      .filter(([, { finishedAtMs }]) => finishedAtMs < before)
      .slice(0, REMOVALS_PER_SWEEP)
      .map(([id, { revision }]) => ({ id, key: JOB_STORE_KEYS.progressOf(id), revision }));
    if (old.length === 0) return;
    // Without the revisions, a removal that is carried out late could remove a job that came under the same id.
    const outcome = await store.transact({
      conditions: [options.condition(), ...old.map(({ key, revision }) => ({ key, revision }))],
      writes: [],
      removals: old.map(({ key }) => key),
    });
    if (outcome.isErr() || outcome.value.kind === 'lease-ended') return;
    const { value } = outcome;
    // After a conflict, the records are tried again that are still there as they were.
    const removed = old.filter(
      ({ key, revision }) =>
        value.kind === 'committed' ||
        !value.entries.some((entry) => entry.key === key && entry.revision === revision),
    );
    for (const { id } of removed) finishedJobs.delete(id);
    if (removed.length > 0) events.info('finished-jobs-removed', { jobs: removed.length });
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
