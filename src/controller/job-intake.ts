/**
 * Adds jobs to the cell from the job and cancellation records in the store, with the progress that a previous leader
 * wrote.
 */
import type { Job } from '../jobs/index.js';
import {
  createProgress,
  decodeJob,
  decodeProgress,
  isFinal,
  JOB_STORE_KEYS,
  parseJobKey,
  restoreProgress,
} from '../jobs/index.js';
import { createEntryReader } from '../observability/index.js';
import type { EventLog, FaultContainment, Meters } from '../observability/index.js';
import type { CellConfiguration, Queue } from '../queues/index.js';
import type { StoreChange, StoreEntry } from '../records/index.js';
import { createJobEntry } from './cell.js';
import type { Cell, JobEntry } from './cell.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { FinishedJob } from './housekeeping.js';
import { inheritRuns } from './inherit-runs.js';
import type { JobLifecycle } from './job-lifecycle.js';
import type { ProgressLog } from './progress-log.js';
import type { ShareMeter } from './share-meter.js';
import { acceptedOnTermClock } from './term-clock.js';

export interface JobIntake {
  /** Applies a complete listing of the prefix of jobs. */
  readonly applyListing: (entries: readonly StoreEntry[]) => void;
  readonly applyChange: (change: StoreChange) => void;
  /** Applies a complete listing of the cancelled jobs that have not ended. */
  readonly applyCancelledJobs: (ids: readonly string[]) => void;
  readonly applyCancelledJob: (id: string) => void;
  /** Adds a job that was accepted `ageMs` ago before the feed delivers it. */
  addAccepted(job: Job, ageMs: number | undefined): void;
}

export interface JobIntakeOptions {
  readonly cell: Cell;
  readonly sessions: FleetSessions;
  readonly lifecycle: JobLifecycle;
  readonly log: ProgressLog;
  readonly share: ShareMeter;
  /** Progress records of unfinished jobs, read at the beginning of the term, by job. */
  readonly savedProgress: ReadonlyMap<string, StoreEntry>;
  /** Jobs that have ended, by id. */
  readonly finishedJobs: ReadonlyMap<string, FinishedJob>;
  readonly configuration: () => CellConfiguration | undefined;
  /** The leader's clock, on which jobs have their objectives. */
  readonly clock?: () => number;
  readonly beginDueOccurrences: (entry: JobEntry) => void;
  readonly onChange: () => void;
  /** Called with the revision of the configuration that allowed a job, before any of its tasks can start. */
  readonly onConfigurationRevision?: ((revision: number) => void) | undefined;
  /** Keeps an error that one job of a listing causes away from the others. */
  readonly contain: FaultContainment['contain'];
  readonly events: EventLog;
  readonly meters?: Meters;
}

interface JobNews {
  readonly cancelled: boolean;
  /** Milliseconds since the job was accepted, if its host reports it; undefined if it comes from the store. */
  readonly ageMs: number | undefined;
}

export function createJobIntake(options: JobIntakeOptions): JobIntake {
  const { cell, sessions, lifecycle, log, share, savedProgress, finishedJobs, events } = options;
  const { clock = Date.now } = options;

  const jobRecords = createEntryReader({
    prefix: JOB_STORE_KEYS.jobs,
    event: 'job-record-unreadable',
    events,
    meters: options.meters,
  });
  const progressRecords = createEntryReader({
    prefix: JOB_STORE_KEYS.progress,
    event: 'progress-record-unreadable',
    events,
    meters: options.meters,
  });

  /** Jobs whose progress cannot be read. Any of their tasks may have run, so none is started again. */
  const withheld = new Set<string>();

  /** Jobs that are known to be cancelled, of which some may not have been read yet. */
  let cancelledJobs = new Set<string>();

  function findQueue(name: string): Queue | undefined {
    return options.configuration()?.queues.find((queue) => queue.name === name);
  }

  function addJob(job: Job, { cancelled, ageMs }: JobNews) {
    if (cell.jobs.has(job.id) || withheld.has(job.id)) return;
    // The host that has accepted the job may know a later configuration than this leader.
    if (job.configurationRevision !== undefined) {
      options.onConfigurationRevision?.(job.configurationRevision);
    }
    const progress = createProgress(job);
    const entry = createJobEntry({
      progress,
      acceptedAtMs: acceptedOnTermClock(job, { nowMs: clock(), ageMs }),
      queue: findQueue(job.queue),
      beyondShare: share.recordJob(job.team, weightOf(job.team)),
    });
    const record = savedProgress.get(job.id);
    const decoded = record === undefined ? undefined : progressRecords.read(record, decodeProgress);
    if (record !== undefined && decoded === undefined) {
      withheld.add(job.id);
      return;
    }
    if (record !== undefined) log.setRevision(job.id, record.revision);
    if (decoded !== undefined) restoreProgress(progress, decoded);
    if (isFinal(progress.state)) entry.finishedAtMs = clock();
    cell.add(entry);
    if (decoded !== undefined) inheritRuns({ progress, sessions, lifecycle });
    events.info('job-learned', {
      job: job.id,
      queue: job.queue,
      team: job.team,
      steps: job.steps.length,
      tasks: job.steps.reduce((sum, { count }) => sum + count, 0),
      ageMs: Math.round(clock() - entry.acceptedAtMs),
      state: progress.state,
      beyondShare: entry.beyondShare,
      restored: decoded !== undefined,
      configurationRevision: job.configurationRevision,
    });
    if (cancelled || cancelledJobs.has(job.id)) lifecycle.cancel(entry);
    if (progress.job.schedule !== undefined) options.beginDueOccurrences(entry);
    options.onChange();
  }

  function weightOf(team: string): number {
    return options.configuration()?.teams.find(({ name }) => name === team)?.weight ?? 1;
  }

  function applyListing(entries: readonly StoreEntry[]) {
    const cancelled = new Set<string>();
    for (const { key } of entries) {
      const { id, kind } = parseJobKey(key);
      if (kind === 'cancellation') cancelled.add(id);
    }
    for (const { key, value } of entries) {
      options.contain('job', { key }, () => {
        applyJobRecord(key, value, cancelled);
      });
    }
    for (const id of cancelled) {
      options.contain('cancellation', { job: id }, () => {
        applyCancellation(id);
      });
    }
  }

  function applyJobRecord(key: string, value: string, cancelled: ReadonlySet<string>) {
    const { id, kind } = parseJobKey(key);
    if (kind !== 'job' || cell.jobs.has(id) || finishedJobs.has(id)) return;
    const job = jobRecords.read({ key, value }, decodeJob);
    if (job !== undefined) addJob(job, { cancelled: cancelled.has(id), ageMs: undefined });
  }

  function applyChange({ key, value }: StoreChange) {
    if (value === undefined) return;
    const { id, kind } = parseJobKey(key);
    if (kind === 'cancellation') applyCancellation(id);
    else applyJobRecord(key, value, new Set());
  }

  function applyCancellation(id: string) {
    const entry = cell.jobs.get(id);
    if (entry === undefined || isFinal(entry.progress.state)) return;
    events.info('job-cancellation-learned', { job: id, state: entry.progress.state });
    lifecycle.cancel(entry);
  }

  return {
    applyListing,
    applyChange,
    applyCancelledJobs: (ids) => {
      cancelledJobs = new Set(ids);
      for (const id of ids) {
        options.contain('cancellation', { job: id }, () => {
          applyCancellation(id);
        });
      }
    },
    applyCancelledJob: (id) => {
      cancelledJobs.add(id);
      applyCancellation(id);
    },
    addAccepted: (job, ageMs) => {
      if (!finishedJobs.has(job.id)) addJob(job, { cancelled: false, ageMs });
    },
  };
}
