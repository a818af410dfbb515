/**
 * The leader's in-memory state of the cell: jobs with their progress, steps with waiting tasks, and the resources
 * that each team uses.
 */
import type {
  Job,
  JobProgress,
  OccurrenceProgress,
  QueueTerms,
  StepProgress,
} from '../jobs/index.js';
import {
  estimateCriticalPaths,
  estimateJobBytes,
  estimateObjectiveMs,
  estimateOccurrenceBytes,
  formatStepName,
  hasBegun,
  isFinal,
  isStepDone,
  isStepReady,
  USEFUL_LATENESS_FACTOR,
} from '../jobs/index.js';
import { addTasks, NO_RESOURCES } from '../model/index.js';
import type { Resources } from '../model/index.js';

export interface JobEntry {
  readonly progress: JobProgress;
  /** Whether the job was submitted beyond the team's share. */
  readonly beyondShare: boolean;
  /** When the job was accepted, on the leader's clock like the times below; see `term-clock.ts`. */
  readonly acceptedAtMs: number;
  /** When the job misses its objective. */
  readonly objectiveAtMs: number;
  /** When the result is of no use to callers any more. */
  readonly uselessAtMs: number;
  /** Estimated duration of the longest chain of steps from the start of each step to the end of the job. */
  readonly criticalPathMs: readonly number[];
  /** Part of the terms: the objective grows by this with the critical path. */
  readonly stretch: number;
  /** Estimated bytes of the leader's memory for the job, and for each of its open occurrences. */
  readonly jobBytes: number;
  readonly occurrenceBytes: number;
  /** Bytes that the cell counts for the job at present; none after its end. */
  openBytes: number;
  /** When the job reached its final state. */
  finishedAtMs: number | undefined;
}

/** A step with tasks that wait for a worker. */
export interface ReadyStep {
  readonly key: string;
  readonly entry: JobEntry;
  readonly step: StepProgress;
}

export interface Cell {
  readonly jobs: Map<string, JobEntry>;
  readonly ready: ReadonlyMap<string, ReadyStep>;
  /** Jobs with occurrences that begin at set times. */
  readonly scheduled: ReadonlySet<JobEntry>;
  add(entry: JobEntry): void;
  remove(job: string): void;
  /** Updates the index of ready steps from the job's progress. */
  refresh(entry: JobEntry): void;

  charge(team: string, size: Resources): void;
  release(team: string, size: Resources): void;
  usedBy(team: string): Resources;
  /** Estimated bytes of the leader's memory for all jobs that have not ended. */
  readonly openBytes: number;
  /** Number of jobs in each queue of which no task has started. */
  countPending(): Record<string, number>;
}

export interface CellOptions {
  readonly now: () => number;
  /** Called when a step needs no further runs: it is done or its job has ended. */
  readonly onStepSettled: (key: string) => void;
  readonly onAdded?: (entry: JobEntry) => void;
}

export function createCell(options: CellOptions): Cell {
  const jobs = new Map<string, JobEntry>();
  const ready = new Map<string, ReadyStep>();
  const scheduled = new Set<JobEntry>();
  const used = new Map<string, Resources>();
  let openBytes = 0;

  function refreshStep(entry: JobEntry, occurrence: OccurrenceProgress, step: StepProgress) {
    const key = formatStepName({
      job: entry.progress.job.id,
      occurrence: occurrence.number,
      step: step.number,
    });
    const settled = isFinal(entry.progress.state) || isStepDone(step);
    if (settled) options.onStepSettled(key);
    if (settled || step.waitingCount === 0 || !isStepReady(occurrence, step)) {
      ready.delete(key);
      return;
    }
    step.readySince ??= options.now();
    if (!ready.has(key)) ready.set(key, { key, entry, step });
  }

  function countBytes(entry: JobEntry, bytes: number) {
    openBytes += bytes - entry.openBytes;
    entry.openBytes = bytes;
  }

  function refresh(entry: JobEntry) {
    const { state, occurrences } = entry.progress;
    countBytes(
      entry,
      isFinal(state) ? 0 : entry.jobBytes + occurrences.size * entry.occurrenceBytes,
    );
    for (const occurrence of entry.progress.occurrences.values()) {
      for (const step of occurrence.steps) refreshStep(entry, occurrence, step);
    }
  }

  return {
    jobs,
    ready,
    scheduled,
    refresh,
    add: (entry) => {
      jobs.set(entry.progress.job.id, entry);
      if (entry.progress.job.schedule !== undefined) scheduled.add(entry);
      refresh(entry);
      options.onAdded?.(entry);
    },
    remove: (job) => {
      const entry = jobs.get(job);
      if (entry === undefined) return;
      scheduled.delete(entry);
      countBytes(entry, 0);
      jobs.delete(job);
    },
    charge: (team, size) => {
      used.set(team, addTasks(used.get(team) ?? NO_RESOURCES, size, 1));
    },
    release: (team, size) => {
      used.set(team, addTasks(used.get(team) ?? NO_RESOURCES, size, -1));
    },
    get openBytes() {
      return openBytes;
    },
    usedBy: (team) => used.get(team) ?? NO_RESOURCES,
    countPending: () => {
      const counts: Record<string, number> = {};
      for (const { progress } of jobs.values()) {
        if (progress.job.schedule !== undefined || isFinal(progress.state)) continue;
        if (hasBegun(progress)) continue;
        counts[progress.job.queue] = (counts[progress.job.queue] ?? 0) + 1;
      }
      return counts;
    },
  };
}

/** Terms of jobs whose queue is not configured and whose records hold none. */
const DEFAULT_TERMS: QueueTerms = {
  priority: 1,
  maxAttempts: 3,
  stretch: 2,
  targetLatencyMs: 1000,
};

/**
 * The terms that apply to a job: those of its queue, or if operators have removed it, even if only for a moment, those
 * under which the job was accepted.
 */
export function termsOf(job: Job, queue: QueueTerms | undefined): QueueTerms {
  return queue ?? job.terms ?? DEFAULT_TERMS;
}

export function createJobEntry(options: {
  readonly progress: JobProgress;
  readonly queue: QueueTerms | undefined;
  readonly beyondShare: boolean;
  /** On the leader's clock; by default, the time at which the host has accepted the job by its time of day. */
  readonly acceptedAtMs?: number;
}): JobEntry {
  const { progress, queue, beyondShare } = options;
  const { job } = progress;
  const { acceptedAtMs = job.acceptedAtMs } = options;
  const terms = termsOf(job, queue);
  const objectiveMs = estimateObjectiveMs(job.steps, terms);
  return {
    progress,
    beyondShare,
    acceptedAtMs,
    objectiveAtMs: acceptedAtMs + objectiveMs,
    uselessAtMs: acceptedAtMs + USEFUL_LATENESS_FACTOR * objectiveMs,
    criticalPathMs: estimateCriticalPaths(job.steps),
    stretch: terms.stretch,
    jobBytes: estimateJobBytes(job),
    occurrenceBytes: estimateOccurrenceBytes(job),
    openBytes: 0,
    finishedAtMs: undefined,
  };
}
