/**
 * The progress log of the jobs in a cell: the keys under which their records stand, and what is written there.
 */
import { encodeProgress, isFinal, JOB_STORE_KEYS, keysUntilEnd } from '../jobs/index.js';
import type { Cell } from './cell.js';
import { createProgressLog } from './progress-log.js';
import type { ProgressLog, ProgressLogOptions } from './progress-log.js';

export interface JobProgressLogOptions extends Omit<
  ProgressLogOptions,
  'keyOf' | 'removalsOf' | 'encode'
> {
  readonly cell: Pick<Cell, 'jobs'>;
}

export function createJobProgressLog({ cell, ...options }: JobProgressLogOptions): ProgressLog {
  return createProgressLog({
    ...options,
    keyOf: JOB_STORE_KEYS.progressOf,
    removalsOf: (job) => {
      const entry = cell.jobs.get(job);
      return entry !== undefined && isFinal(entry.progress.state) ? keysUntilEnd(job) : [];
    },
    encode: (job) => {
      const entry = cell.jobs.get(job);
      return entry === undefined ? undefined : encodeProgress(entry.progress);
    },
  });
}
