/**
 * Progress of a job: the phase of each task and the number and outcome of its runs. The leader updates
 * it in memory and writes it to the store before it sends a start order, so that its successor knows
 * every run that may exist.
 *
 * Only tasks that were placed and are not done have an entry of their own, so that the memory of a job grows with its
 * steps and with what runs, and not with the tasks that wait or are done.
 */
import type { Span } from './index-spans.js';
import { addIndex, hasIndex } from './index-spans.js';
import type { Job, JobState, Step } from './job.js';
import { isFinal } from './job.js';

/** `placed`: the start order of the current run was recorded; it may be in transit or running. */
export type TaskPhase = 'waiting' | 'placed' | 'done';

/** One incarnation of a worker: a worker that restarts keeps its id and gets a new `born`. */
export interface WorkerIncarnation {
  readonly id: string;
  /** Start time in Unix milliseconds. */
  readonly born: number;
}

export interface TaskProgress {
  readonly index: number;
  phase: TaskPhase;
  /** Number of the latest run; 0 before the first. */
  run: number;
  /** Number of runs that failed. */
  failures: number;
  checkpoint: string;
  worker: WorkerIncarnation | undefined;
  /** Workers on which a run failed; retries avoid them. */
  failedOn: string[];
  /** Number of runs that were stopped for want of progress; not durable, so each leader counts from 0. */
  stalls: number;
}

export interface StepProgress {
  readonly number: number;
  readonly step: Step;
  readonly occurrence: number;
  /** Tasks that were placed and are not done, by index. A task that waits for its first run has no entry. */
  readonly tasks: Map<number, TaskProgress>;
  /** Indexes of the tasks that are done. */
  readonly done: Span[];
  /** Number of times that the gang failed as a whole. */
  gangFailures: number;
  /** Run whose failure was counted last, so that a duplicate report is not counted again. */
  gangFailedRun: number;
  doneCount: number;
  waitingCount: number;
  /** Monotonic milliseconds at which the step became ready; undefined until then. */
  readySince: number | undefined;
}

export interface OccurrenceProgress {
  readonly number: number;
  readonly steps: StepProgress[];
}

export interface JobProgress {
  readonly job: Job;
  state: JobState;
  /** The leader has sent a start order for at least one task. A placement alone can still be withdrawn. */
  begun: boolean;
  /** Occurrences in progress, by number. */
  readonly occurrences: Map<number, OccurrenceProgress>;
  /** Occurrences below this number have begun; those that are not in the map are finished. */
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

/** Adds the next occurrence to the ones in progress. */
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
  return {
    number,
    step,
    occurrence,
    tasks: new Map(),
    done: [],
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
  return step.doneCount === step.step.count;
}

/** Whether all steps that this one depends on are done. */
export function isStepReady(occurrence: OccurrenceProgress, step: StepProgress): boolean {
  return step.step.after.every((index) => {
    const earlier = occurrence.steps[index];
    return earlier !== undefined && isStepDone(earlier);
  });
}

/** The entry of a task that is not done, which is created if the task waits for its first run. */
export function openTask(step: StepProgress, index: number): TaskProgress | undefined {
  const known = step.tasks.get(index);
  if (known !== undefined) return known;
  if (index >= step.step.count || hasIndex(step.done, index)) return undefined;
  const task: TaskProgress = {
    index,
    phase: 'waiting',
    run: 0,
    failures: 0,
    checkpoint: '',
    worker: undefined,
    failedOn: [],
    stalls: 0,
  };
  step.tasks.set(index, task);
  return task;
}

/** All tasks of a step that has to be placed as a whole, none of which is done. */
export function openAllTasks(step: StepProgress): TaskProgress[] {
  return Array.from({ length: step.step.count }, (_, index) => openTask(step, index)).filter(
    (task) => task !== undefined,
  );
}

/** Number of tasks that were placed and are not done. */
export function countOpenTasks({ occurrences }: JobProgress): number {
  let count = 0;
  for (const { steps } of occurrences.values()) for (const { tasks } of steps) count += tasks.size;
  return count;
}

/** Indexes of waiting tasks in ascending order, up to `limit` of them. */
export function listWaitingTasks(step: StepProgress, limit = Infinity): number[] {
  const { count } = step.step;
  const waiting: number[] = [];
  let next = 0;
  for (const [first, last] of [...step.done, [count, count] as const]) {
    for (let index = next; index < first && waiting.length < limit; index += 1) {
      if (step.tasks.get(index)?.phase !== 'placed') waiting.push(index);
    }
    next = last + 1;
  }
  return waiting;
}

/** Changes the phase of a task and updates the counters of its step. A task that is done stays so. */
export function setPhase(step: StepProgress, task: TaskProgress, phase: TaskPhase): void {
  if (task.phase === phase || task.phase === 'done') return;
  if (task.phase === 'waiting') step.waitingCount -= 1;
  if (phase === 'waiting') step.waitingCount += 1;
  task.phase = phase;
  if (phase !== 'done') return;
  step.doneCount += 1;
  addIndex(step.done, task.index);
  step.tasks.delete(task.index);
}

/** Marks all tasks of the span as done. */
export function setDone(step: StepProgress, [first, last]: Span): void {
  const end = Math.min(last, step.step.count - 1);
  const isBehind = (step.done.at(-1)?.[1] ?? -2) < first - 1;
  // Restores a large step in one piece.
  if (isBehind && step.tasks.size === 0 && first <= end) {
    step.done.push([first, end]);
    step.doneCount += end - first + 1;
    step.waitingCount -= end - first + 1;
    return;
  }
  for (let index = first; index <= end; index += 1) {
    const task = openTask(step, index);
    if (task !== undefined) setPhase(step, task, 'done');
  }
}

/** Removes finished occurrences, and marks the job as completed after the last one. */
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

/** Whether a start order was ever sent for any task of the job. */
export function hasBegun(progress: JobProgress): boolean {
  return progress.begun || progress.nextOccurrence > progress.occurrences.size;
}
