/**
 * Cancels jobs: a cancellation is acknowledged once it is durable. The leader follows these records and
 * stops what runs.
 */
import { JOB_STORE_KEYS } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { KeyValueStore } from '../records/index.js';
import { pause } from '../records/index.js';

export type CancellationOutcome = 'cancelled' | 'no-such-job' | 'unknown';

export interface CancellationOptions {
  readonly store: KeyValueStore;
  /** The store was not reached for so long that callers should try another host. */
  readonly isStoreLost: () => boolean;
  readonly events: EventLog;
  readonly job: string;
  /** Monotonic milliseconds until which the caller waits. */
  readonly deadlineAt: number;
}

const RETRY_MS = 80;
const CALL_TIMEOUT_MS = 700;

/** Writes the cancellation, repeating calls without an answer until the caller's deadline or the store's loss. */
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
          conditions: [{ key: JOB_STORE_KEYS.cancellation(job), revision: 0 }],
          writes: [{ key: JOB_STORE_KEYS.cancellation(job), value: '{}' }],
        },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (outcome.isOk() && outcome.value.kind !== 'lease-ended') {
        events.info('cancellation-accepted', { job, outcome: outcome.value.kind });
        return 'cancelled';
      }
    }
    if (isStoreLost() || performance.now() + RETRY_MS > deadlineAt) return 'unknown';
    await pause(RETRY_MS);
  }
}
