/**
 * Options of `createJournal`.
 */
import type { Log } from '../log/index.js';
import type { Store } from '../platform/index.js';
import type { JobRecord } from './job-record.js';
import type { RetryOptions } from './write-segment.js';

export interface JournalOptions {
  readonly store: Store;
  readonly dataCentre: string;
  /** `host/bootId`. */
  readonly owner: string;
  readonly now: () => number;
  readonly log?: Log;
  /** How long a record waits for others, to be written together with them. */
  readonly batchDelayMs?: number;
  /** Maximum delay until the end of a job is written. */
  readonly lazyWriteDelayMs?: number;
  /** How long ended jobs are kept. */
  readonly retentionMs?: number;
  /** Maximum number of jobs per segment. */
  readonly maxJobs?: number;
  /** Maximum size of a segment. */
  readonly maxBytes?: number;
  readonly retries?: RetryOptions;
  /** Called when another host has adopted jobs of this host, which must no longer start them. */
  readonly onLost?: (jobs: readonly JobRecord[]) => void;
}
