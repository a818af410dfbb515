/**
 * Options of `createJournal`.
 */
import type { Log } from '../log/index.js';
import type { Store } from '../platform/index.js';
import type { JobRecord } from './job-record.js';
import type { Retries } from './write-segment.js';

export interface JournalOptions {
  readonly store: Store;
  readonly dataCentre: string;
  /** `host/bootId`. */
  readonly owner: string;
  readonly now: () => number;
  readonly log?: Log;
  /** How long a record waits for others to be written with it. */
  readonly lingerMs?: number;
  /** Longest wait until the end of a job is written. */
  readonly lazyMs?: number;
  /** How long ended jobs can be found. */
  readonly retentionMs?: number;
  /** Most jobs in one value. */
  readonly maxJobs?: number;
  /** Largest value. */
  readonly maxBytes?: number;
  readonly retries?: Retries;
  /** Called when another host has adopted jobs of this one, which must not start them any more. */
  readonly onLost?: (jobs: readonly JobRecord[]) => void;
}
