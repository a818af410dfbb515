/**
 * Cancels jobs. A cancellation is acknowledged once its record is durable. The leader watches these
 * records and stops the running tasks.
 */
import { JOB_STORE_KEYS } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { KeyValueStore } from '../records/index.js';
import { pause } from '../records/index.js';

export type CancellationOutcome = 'cancelled' | 'no-such-job' | 'unknown';

export interface CancellationOptions {
  readonly store: KeyValueStore;
  /** Whether the store has been unreachable for so long that callers should try another host. */
  readonly isStoreLost: () => boolean;
  readonly events: EventLog;
  readonly job: string;
  /** Deadline of the caller in monotonic milliseconds. */
  readonly deadlineAt: number;
}

const RETRY_MS = 80;
const CALL_TIMEOUT_MS = 700;

/** Writes the cancellation, with retries until the caller's deadline or until the store is unreachable. */
export async function cancelJob(options: CancellationOptions): Promise<CancellationOutcome> {
  const { store, isStoreLost, events, job, deadlineAt } = options;
  for (;;) {
    const found = await store.list(JOB_STORE_KEYS.job(job), { timeoutMs: CALL_TIMEOUT_MS });
    if (found.isOk()) {
      const entries = found.value.entries;
      if (entries.some(({ key }) => key === JOB_STORE_KEYS.cancellation(job))) return 'cancelled';
      const accepted = entries.find(({ key }) => key === JOB_STORE_KEYS.job(job));
      if (accepted === undefined) return 'no-such-job';
      const outcome = await store.transact(
        {
          conditions: [
            { key: JOB_STORE_KEYS.cancellation(job), revision: 0 },
            // The leader removes the record of a job that has ended, and the keys below with it.
            { key: accepted.key, revision: accepted.revision },
          ],
          writes: [
            { key: JOB_STORE_KEYS.cancellation(job), value: '{}' },
            { key: JOB_STORE_KEYS.cancelledJob(job), value: '{}' },
          ],
        },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (outcome.isOk() && outcome.value.kind === 'committed') {
        events.info('cancellation-accepted', { job });
        return 'cancelled';
      }
    }
    if (isStoreLost() || performance.now() + RETRY_MS > deadlineAt) return 'unknown';
    await pause(RETRY_MS);
  }
}
