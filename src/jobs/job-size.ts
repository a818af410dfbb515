/**
 * Bounds of what a job may ask of the leader, which holds all open jobs in memory, and of its record of progress, which
 * is one value of the store.
 */
import type { Job, Step } from './job.js';

/**
 * Tasks of a job that may be placed, or wait for a further run, at the same time. The record of progress has an entry of
 * about 100 bytes for each of them, beside at most as much for the steps of the largest job.
 */
export const MAX_OPEN_TASKS = 4000;

/** Estimated bytes of a job without steps, with what the leader keeps beside it. */
const JOB_BYTES = 2000;
/** Of a step as it was submitted, and of its progress in one occurrence. */
const STEP_BYTES = 500;
const STEP_PROGRESS_BYTES = 700;
const DEPENDENCY_BYTES = 16;
/** The most that one job may take up. */
export const MAX_JOB_BYTES = 6_000_000;

/** Estimated bytes of a leader's memory for each open occurrence of the job, without what runs. */
export function estimateOccurrenceBytes({ steps }: Pick<Job, 'steps'>): number {
  return steps.length * STEP_PROGRESS_BYTES;
}

/** Estimated bytes of a leader's memory for the job, without its occurrences. */
export function estimateJobBytes({ spec, steps }: Pick<Job, 'spec' | 'steps'>): number {
  const dependencies = steps.reduce((sum, { after }) => sum + after.length, 0);
  const labels = steps.reduce(
    (sum, { requiredLabel = '', dataRack = '' }) => sum + requiredLabel.length + dataRack.length,
    0,
  );
  const texts = spec.length + labels;
  return JOB_BYTES + texts + steps.length * STEP_BYTES + dependencies * DEPENDENCY_BYTES;
}

/** Why a job can never be served, however empty the cell is; undefined if it can. */
export function findExcess(job: Pick<Job, 'spec' | 'steps'>): string | undefined {
  if (estimateJobBytes(job) + estimateOccurrenceBytes(job) > MAX_JOB_BYTES)
    return 'the job has too many steps or dependencies';
  const isTooMany = (count: number) => count > MAX_OPEN_TASKS;
  if (job.steps.some(({ gang, count }) => gang && isTooMany(count))) {
    return `a gang may have ${String(MAX_OPEN_TASKS)} tasks at most`;
  }
  const lasting = job.steps.reduce((sum, step) => sum + lastingTasks(step), 0);
  return isTooMany(lasting)
    ? `a job may have ${String(MAX_OPEN_TASKS)} long-running tasks at most`
    : undefined;
}

function lastingTasks({ longRunning, count }: Step): number {
  return longRunning ? count : 0;
}
