/**
 * Records of progress that a leader has read at the beginning of its term. Of ended jobs it keeps only the ids, so that a
 * takeover spends no time decoding their records.
 */
import { isFinalRecord, JOB_STORE_KEYS } from '../jobs/index.js';
import type { StoreEntry } from '../records/index.js';
import type { FinishedJob } from './housekeeping.js';

export interface RestoredRecords {
  /** Records of unfinished jobs, by job. */
  readonly savedProgress: Map<string, StoreEntry>;
  /** Jobs that have ended, by id; those of this term are added. */
  readonly finishedJobs: Map<string, FinishedJob>;
  readonly applyProgress: (entries: readonly StoreEntry[]) => void;
}

export interface RestoredRecordsOptions {
  /** The leader's clock, on which finished jobs have their times. */
  readonly clock: () => number;
}

export function createRestoredRecords({ clock }: RestoredRecordsOptions): RestoredRecords {
  const savedProgress = new Map<string, StoreEntry>();
  const finishedJobs = new Map<string, FinishedJob>();
  return {
    savedProgress,
    finishedJobs,
    applyProgress: (entries) => {
      for (const entry of entries) {
        const id = entry.key.slice(JOB_STORE_KEYS.progress.length);
        if (isFinalRecord(entry.value)) {
          finishedJobs.set(id, { finishedAtMs: clock(), revision: entry.revision });
        } else savedProgress.set(id, entry);
      }
    },
  };
}
