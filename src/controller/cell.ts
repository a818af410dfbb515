/**
 * The leader's view of the cell: jobs with their progress, steps whose tasks wait, and what each team has
 * running.
 */
import type { JobProgress, OccurrenceProgress, StepProgress } from '../jobs/index.js';
import {
  estimateCriticalPathMs,
  formatStepName,
  hasBegun,
  isFinal,
  isStepReady,
} from '../jobs/index.js';
import { addResources, NO_RESOURCES, subtractResources } from '../model/index.js';
import type { Resources } from '../model/index.js';
import type { Queue } from '../queues/index.js';

export interface JobEntry {
  readonly progress: JobProgress;
  /** Sent beyond the team's share. */
  readonly beyondShare: boolean;
  /** Unix milliseconds at which the job misses its objective. */
  readonly objectiveAtMs: number;
  /** Unix milliseconds after which the job's end is of no use any more. */
  readonly uselessAtMs: number;
  /** Estimated work from the start of each step to the end of the job. */
  readonly criticalPathMs: readonly number[];
  /** Unix milliseconds at which the job reached its final state. */
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
  add(entry: JobEntry): void;
  remove(job: string): void;
  /** Brings the index of waiting steps up to the job's progress. */
  refresh(entry: JobEntry): void;
  charge(team: string, size: Resources): void;
  release(team: string, size: Resources): void;
  usedBy(team: string): Resources;
  /** Jobs of each queue for which no task was started. */
  countPending(): Record<string, number>;
}

export interface CellOptions {
  readonly now: () => number;
  /** A step became unnecessary: it is done or its job is over. */
  readonly onStepSettled: (key: string) => void;
}

export function createCell(options: CellOptions): Cell {
  const jobs = new Map<string, JobEntry>();
  const ready = new Map<string, ReadyStep>();
  const used = new Map<string, Resources>();

  function refreshStep(entry: JobEntry, occurrence: OccurrenceProgress, step: StepProgress) {
    const key = formatStepName({
      job: entry.progress.job.id,
      occurrence: occurrence.number,
      step: step.number,
    });
    const over = isFinal(entry.progress.state) || step.doneCount === step.tasks.length;
    if (over) options.onStepSettled(key);
    if (over || step.waitingCount === 0 || !isStepReady(occurrence, step)) {
      ready.delete(key);
      return;
    }
    step.readySince ??= options.now();
    if (!ready.has(key)) ready.set(key, { key, entry, step });
  }

  function refresh(entry: JobEntry) {
    for (const occurrence of entry.progress.occurrences.values()) {
      for (const step of occurrence.steps) refreshStep(entry, occurrence, step);
    }
  }

  return {
    jobs,
    ready,
    refresh,
    add: (entry) => {
      jobs.set(entry.progress.job.id, entry);
      refresh(entry);
    },
    remove: (job) => {
      jobs.delete(job);
    },
    charge: (team, size) => {
      used.set(team, addResources(used.get(team) ?? NO_RESOURCES, size));
    },
    release: (team, size) => {
      used.set(team, subtractResources(used.get(team) ?? NO_RESOURCES, size));
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

/** A late end is of use to callers up to this many times the objective. */
const LATE_FACTOR = 3;

/** Stretch and latency of a queue that was removed after the job was accepted. */
const REMOVED_QUEUE = { stretch: 2, targetLatencyMs: 1000 };

export function createJobEntry(options: {
  readonly progress: JobProgress;
  readonly queue: Queue | undefined;
  readonly beyondShare: boolean;
}): JobEntry {
  const { progress, queue, beyondShare } = options;
  const { job } = progress;
  const { stretch, targetLatencyMs } = queue ?? REMOVED_QUEUE;
  const objectiveMs = stretch * estimateCriticalPathMs(job.steps) + targetLatencyMs;
  return {
    progress,
    beyondShare,
    objectiveAtMs: job.acceptedAtMs + objectiveMs,
    uselessAtMs: job.acceptedAtMs + LATE_FACTOR * objectiveMs,
    criticalPathMs: estimateTails(progress),
    finishedAtMs: undefined,
  };
}

function estimateTails({ job }: JobProgress): number[] {
  const tails = job.steps.map(({ estimateMs }) => estimateMs);
  for (let index = job.steps.length - 1; index >= 0; index -= 1) {
    for (const earlier of job.steps[index]?.after ?? []) {
      const through = (job.steps[earlier]?.estimateMs ?? 0) + (tails[index] ?? 0);
      tails[earlier] = Math.max(tails[earlier] ?? 0, through);
    }
  }
  return tails;
}
