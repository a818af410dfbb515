/**
 * Excludes workers that fail whatever they start. Failures of different jobs without a success in between exclude a
 * worker for a time; after that it gets one task or gang at a time as a trial, and a success ends the trial.
 *
 * A job that has failed on two workers is itself at fault, as far as can be told, and says nothing about either of them.
 * Otherwise jobs that can never be done would exclude the whole pool while they use up their attempts.
 */
import type { WorkerHealthStatus } from './candidates.js';

/** About one run in twenty fails by the job's own fault, so two in a row are rare on a healthy worker. */
const FAILURES_BEFORE_EXCLUSION = 2;
/** Duration of the first exclusion; doubles with each failed trial. */
const EXCLUSION_MS = 1500;
const MAX_EXCLUSION_MS = 12_000;
/** Jobs with failures that are remembered; an attempt follows the one that failed within seconds or minutes. */
const MAX_FAILED_JOBS = 2000;

export interface WorkerHealth {
  /** Records the end of a run; a success clears the failures of the worker. */
  record(worker: string, job: string, succeeded: boolean): void;
  /** Excludes a worker whose tasks make no progress. */
  exclude(worker: string): void;
  statusOf(worker: string): WorkerHealthStatus;
  forget(worker: string): void;
}

interface FailureHistory {
  /** Jobs that have failed on this worker and nowhere else. */
  readonly failedJobs: Set<string>;
  /** Whether tasks have made no progress on it. */
  stalled: boolean;
  excludedUntil: number;
  exclusionMs: number;
  onTrial: boolean;
}

export function createWorkerHealth(options: { readonly now: () => number }): WorkerHealth {
  const records = new Map<string, FailureHistory>();
  /** Worker on which each job failed first, the job that failed last at the end. */
  const firstFailures = new Map<string, string>();

  function find(worker: string): FailureHistory {
    let found = records.get(worker);
    if (found === undefined) {
      found = {
        failedJobs: new Set(),
        stalled: false,
        excludedUntil: 0,
        exclusionMs: EXCLUSION_MS,
        onTrial: false,
      };
      records.set(worker, found);
    }
    return found;
  }

  function exclude(found: FailureHistory) {
    found.excludedUntil = options.now() + found.exclusionMs;
    found.exclusionMs = Math.min(MAX_EXCLUSION_MS, found.exclusionMs * 2);
    found.onTrial = true;
  }

  function recordFailure(worker: string, job: string) {
    const first = firstFailures.get(job) ?? worker;
    rememberFailure(job, first);
    if (first !== worker) {
      withdrawFailure(first, job);
      return;
    }
    const found = find(worker);
    found.failedJobs.add(job);
    if (found.onTrial || found.failedJobs.size >= FAILURES_BEFORE_EXCLUSION) exclude(found);
  }

  function rememberFailure(job: string, worker: string) {
    firstFailures.delete(job);
    firstFailures.set(job, worker);
    const [oldest] = firstFailures.keys();
    if (firstFailures.size > MAX_FAILED_JOBS && oldest !== undefined) firstFailures.delete(oldest);
  }

  /** Trusts the worker again if too little else speaks against it. */
  function withdrawFailure(worker: string, job: string) {
    const found = records.get(worker);
    if (found?.failedJobs.delete(job) !== true || found.stalled) return;
    if (found.failedJobs.size >= FAILURES_BEFORE_EXCLUSION) return;
    found.excludedUntil = 0;
    found.exclusionMs = EXCLUSION_MS;
    found.onTrial = false;
  }

  return {
    exclude: (worker) => {
      const found = find(worker);
      found.stalled = true;
      exclude(found);
    },
    record: (worker, job, succeeded) => {
      if (succeeded) records.delete(worker);
      else recordFailure(worker, job);
    },
    statusOf: (worker) => {
      const found = records.get(worker);
      if (found === undefined) return 'trusted';
      if (options.now() < found.excludedUntil) return 'avoided';
      return found.onTrial ? 'trial' : 'trusted';
    },
    forget: (worker) => {
      records.delete(worker);
    },
  };
}
