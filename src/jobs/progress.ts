/**
 * Progress of a job: the phase of each task, the runs that were ordered and how they ended. The leader
 * changes it in memory and writes it to the store before an order leaves the host, so that a successor
 * knows every run that may exist.
 */
import type { Job, JobState, Step } from './job.js';
import { isFinal } from './job.js';

/** `placed`: an order for the current run was written and may be on its way or at work. */
export type TaskPhase = 'waiting' | 'placed' | 'done';

/** Identity of one life of a worker. */
export interface WorkerIncarnation {
  readonly id: string;
  /** Start of this life in Unix milliseconds. */
  readonly born: number;
}

export interface TaskProgress {
  readonly index: number;
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Runs that ended as failed. */
  failures: number;
  checkpoint: string;
  worker: WorkerIncarnation | undefined;
  /** Workers on which a run failed; a retry avoids them. */
  failedOn: string[];
}

export interface StepProgress {
  readonly number: number;
  readonly step: Step;
  readonly occurrence: number;
  readonly tasks: TaskProgress[];
  /** Failures of the gang as a whole. */
  gangFailures: number;
  /** Run whose failure was counted last, so that a repeated end is not counted again. */
  gangFailedRun: number;
  doneCount: number;
  waitingCount: number;
  /** Monotonic milliseconds at which the step became ready; undefined before. */
  readySince: number | undefined;
}

export interface OccurrenceProgress {
  readonly number: number;
  readonly steps: StepProgress[];
}

export interface JobProgress {
  readonly job: Job;
  state: JobState;
  /** An order to start one of its tasks has left the leader; a placement may still be withdrawn. */
  begun: boolean;
  /** Occurrences that have begun and are not finished, by number. */
  readonly occurrences: Map<number, OccurrenceProgress>;
  /** Occurrences below this number are finished, except those still in the map. */
  nextOccurrence: number;
}

export function createProgress(job: Job): JobProgress {
  const progress: JobProgress = {
    job,
    state: 'queued',
    begun: false,
    occurrences: new Map(),
    nextOccurrence: 0,
  };
  if (job.schedule === undefined) beginOccurrence(progress);
  return progress;
}

/** Adds the next occurrence. */
export function beginOccurrence(progress: JobProgress): OccurrenceProgress {
  const number = progress.nextOccurrence;
  progress.nextOccurrence += 1;
  const occurrence: OccurrenceProgress = {
    number,
    steps: progress.job.steps.map((step, index) => createStepProgress(step, index, number)),
  };
  progress.occurrences.set(number, occurrence);
  return occurrence;
}

function createStepProgress(step: Step, number: number, occurrence: number): StepProgress {
  const tasks = Array.from({ length: step.count }, (_, index) => ({
    index,
    phase: 'waiting' as const,
    run: 0,
    failures: 0,
    checkpoint: '',
    worker: undefined,
    failedOn: [],
  }));
  return {
    number,
    step,
    occurrence,
    tasks,
    gangFailures: 0,
    gangFailedRun: 0,
    doneCount: 0,
    waitingCount: step.count,
    readySince: undefined,
  };
}

/** Due time of the next occurrence in Unix milliseconds; undefined if all have begun. */
export function nextDueMs(progress: JobProgress): number | undefined {
  const schedule = progress.job.schedule;
  if (schedule === undefined || progress.nextOccurrence >= schedule.count) return undefined;
  return schedule.firstAtMs + progress.nextOccurrence * schedule.intervalMs;
}

export function isStepDone(step: StepProgress): boolean {
  return step.doneCount === step.tasks.length;
}

/** Whether all steps that this one depends on are done. */
export function isStepReady(occurrence: OccurrenceProgress, step: StepProgress): boolean {
  return step.step.after.every((index) => {
    const earlier = occurrence.steps[index];
    return earlier !== undefined && isStepDone(earlier);
  });
}

/** Changes the phase of a task and keeps the counts of its step. */
export function setPhase(step: StepProgress, task: TaskProgress, phase: TaskPhase): void {
  if (task.phase === phase) return;
  if (task.phase === 'waiting') step.waitingCount -= 1;
  if (task.phase === 'done') step.doneCount -= 1;
  if (phase === 'waiting') step.waitingCount += 1;
  if (phase === 'done') step.doneCount += 1;
  task.phase = phase;
}

/** Drops finished occurrences and completes the job after the last one. */
export function completeOccurrences(progress: JobProgress): void {
  if (isFinal(progress.state)) return;
  for (const [number, occurrence] of progress.occurrences) {
    if (occurrence.steps.every(isStepDone)) progress.occurrences.delete(number);
  }
  const last = progress.job.schedule?.count ?? 1;
  if (progress.occurrences.size === 0 && progress.nextOccurrence >= last) {
    progress.state = 'completed';
  }
}

/** Whether any task of the job was ever ordered. */
export function hasBegun(progress: JobProgress): boolean {
  return progress.begun || progress.nextOccurrence > progress.occurrences.size;
}
