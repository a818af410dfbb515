/**
 * Excludes workers that fail whatever they start. Failures of different jobs without a success in between
 * exclude a worker for a time; after that it gets one task or gang at a time as a trial, and a success ends the trial.
 */
import type { WorkerHealthStatus } from './candidates.js';

/** About one run in twenty fails by the job's own fault, so two in a row are rare on a healthy worker. */
const FAILURES_BEFORE_EXCLUSION = 2;
/** Duration of the first exclusion; doubles with each failed trial. */
const EXCLUSION_MS = 1500;
const MAX_EXCLUSION_MS = 12_000;

export interface WorkerHealth {
  /** Records the end of a run; a success clears the failures of the worker. */
  record(worker: string, job: string, succeeded: boolean): void;
  /** Excludes a worker whose tasks make no progress. */
  exclude(worker: string): void;
  statusOf(worker: string): WorkerHealthStatus;
  forget(worker: string): void;
}

interface FailureHistory {
  readonly failedJobs: Set<string>;
  excludedUntil: number;
  exclusionMs: number;
  onTrial: boolean;
}

export function createWorkerHealth(options: { readonly now: () => number }): WorkerHealth {
  const records = new Map<string, FailureHistory>();

  function find(worker: string): FailureHistory {
    let found = records.get(worker);
    if (found === undefined) {
      found = {
        failedJobs: new Set(),
        excludedUntil: 0,
        exclusionMs: EXCLUSION_MS,
        onTrial: false,
      };
      records.set(worker, found);
    }
    return found;
  }

  function exclude(worker: string) {
    const found = find(worker);
    found.excludedUntil = options.now() + found.exclusionMs;
    found.exclusionMs = Math.min(MAX_EXCLUSION_MS, found.exclusionMs * 2);
    found.onTrial = true;
  }

  return {
    exclude,
    record: (worker, job, succeeded) => {
      if (succeeded) {
        records.delete(worker);
        return;
      }
      const found = find(worker);
      found.failedJobs.add(job);
      if (found.onTrial || found.failedJobs.size >= FAILURES_BEFORE_EXCLUSION) exclude(worker);
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
