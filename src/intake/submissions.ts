/**
 * Accepts jobs: a job is accepted once its record is durable. Submissions that arrive together are batched
 * into one transaction, which is conditioned on the configuration that allowed them, so that no job is
 * accepted under a configuration that has been replaced.
 *
 * A write whose answer was lost is retried under the same conditions until its outcome is known: either an
 * attempt commits, or a conflict shows that an earlier attempt did. If the host has lost the store, the caller is
 * told at once that the outcome is unknown, so that it can ask another host before its deadline.
 */
import type { Job } from '../jobs/index.js';
import { encodeJob, JOB_STORE_KEYS } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { Condition, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { pause, abandonWriteOnRecovery } from '../records/index.js';

/**
 * `unknown`: the job may be accepted; the caller finds out by submitting the same id again. `replaced`: the
 * configuration has changed and the submission must be authorized again.
 */
export type SubmissionOutcome =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'replaced'; readonly configuration: StoreEntry | undefined }
  | { readonly kind: 'unknown' };

export interface SubmissionBatcher {
  submit(job: Job, configuration: Condition, deadlineAt: number): Promise<SubmissionOutcome>;
}

export interface SubmissionBatcherOptions {
  readonly store: KeyValueStore;
  readonly reachability?: Reachability;
  readonly events: EventLog;
  readonly batchDelayMs?: number;
  /** Whether the store has been unreachable for so long that callers should try another host. */
  readonly isStoreLost?: () => boolean;
  /** Called when jobs were accepted under a configuration that was still in force at `sentAt` (monotonic). */
  readonly onCommitted?: (jobs: readonly Job[], configuration: Condition, sentAt: number) => void;
}

const BATCH_DELAY_MS = 3;
/** Each job needs two conditions and a write; the configuration needs one condition. */
const JOBS_PER_TRANSACTION = 10;
const RETRY_MS = 80;
const CALL_TIMEOUT_MS = 700;
/** Limit of retries while the store rejects writes; the leader or another host is tried afterwards. */
const MAX_REFUSED_MS = 150;

interface PendingSubmission {
  readonly job: Job;
  readonly configuration: Condition;
  readonly deadlineAt: number;
  readonly startedAt: number;
  /** Whether an earlier attempt may have taken effect. */
  uncertain: boolean;
  readonly resolve: (outcome: SubmissionOutcome) => void;
}

export function createSubmissionBatcher(options: SubmissionBatcherOptions): SubmissionBatcher {
  const { store, events, batchDelayMs = BATCH_DELAY_MS } = options;
  let waiting: PendingSubmission[] = [];
  let scheduled = false;

  function scheduleBatches() {
    if (scheduled) return;
    scheduled = true;
    setTimeout(() => {
      scheduled = false;
      sendBatches();
    }, batchDelayMs);
  }

  function sendBatches() {
    while (waiting.length > 0) {
      const first = waiting[0];
      // All submissions of a transaction have the same configuration and different ids.
      const batch: PendingSubmission[] = [];
      const ids = new Set<string>();
      waiting = waiting.filter((item) => {
        const fits =
          batch.length < JOBS_PER_TRANSACTION &&
          item.configuration.revision === first?.configuration.revision &&
          !ids.has(item.job.id);
        if (!fits) return true;
        ids.add(item.job.id);
        batch.push(item);
        return false;
      });
      void commit(batch);
    }
  }

  async function commit(batch: readonly PendingSubmission[]): Promise<void> {
    const [first] = batch;
    if (first === undefined) return;
    const sentAt = performance.now();
    const write = store.transact(
      {
        conditions: [
          first.configuration,
          // Of a job that has ended, only the progress record exists.
          ...batch.flatMap(({ job }) => [
            { key: JOB_STORE_KEYS.job(job.id), revision: 0 },
            { key: JOB_STORE_KEYS.progressOf(job.id), revision: 0 },
          ]),
        ],
        writes: batch.map(({ job }) => ({
          key: JOB_STORE_KEYS.job(job.id),
          value: encodeJob(job),
        })),
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const outcome = await abandonWriteOnRecovery(write, options.reachability);
    if (outcome.isOk() && outcome.value.kind === 'committed') {
      for (const item of batch) settle(item, { kind: 'accepted' });
      options.onCommitted?.(
        batch.map(({ job }) => job),
        first.configuration,
        sentAt,
      );
      return;
    }
    if (outcome.isOk() && outcome.value.kind === 'conflict') {
      resolveConflict(batch, outcome.value.entries);
      return;
    }
    const uncertain = outcome.isErr() && outcome.error.kind === 'unknown';
    for (const item of batch) item.uncertain ||= uncertain;
    await pause(RETRY_MS);
    for (const item of batch) retry(item);
  }

  function resolveConflict(batch: readonly PendingSubmission[], entries: readonly StoreEntry[]) {
    for (const item of batch) {
      const { id } = item.job;
      const existing = entries.some(
        ({ key }) => key === JOB_STORE_KEYS.job(id) || key === JOB_STORE_KEYS.progressOf(id),
      );
      const configuration = entries.find(({ key }) => key === item.configuration.key);
      const replaced = configuration?.revision !== item.configuration.revision;
      // An earlier attempt that may have taken effect was allowed by the configuration of its time.
      if (replaced && !item.uncertain) settle(item, { kind: 'replaced', configuration });
      // An existing job was accepted before, at this host or at another one.
      else if (existing) settle(item, { kind: 'accepted' });
      else if (replaced) settle(item, { kind: 'unknown' });
      else retry(item);
    }
  }

  function retry(item: PendingSubmission) {
    const now = performance.now();
    if (!item.uncertain && now - item.startedAt > MAX_REFUSED_MS) {
      settle(item, { kind: 'refused', reason: 'the store does not take writes' });
      return;
    }
    if (item.uncertain && options.isStoreLost?.() === true) {
      settle(item, { kind: 'unknown' });
      return;
    }
    if (now > item.deadlineAt) {
      settle(
        item,
        item.uncertain
          ? { kind: 'unknown' }
          : { kind: 'refused', reason: 'the caller no longer waits' },
      );
      return;
    }
    waiting.push(item);
    scheduleBatches();
  }

  function settle(item: PendingSubmission, outcome: SubmissionOutcome) {
    if (outcome.kind !== 'accepted' || item.uncertain) {
      events.info('submission-settled', {
        job: item.job.id,
        outcome: outcome.kind,
        uncertain: item.uncertain,
        tookMs: Math.round(performance.now() - item.startedAt),
        configurationRevision: item.configuration.revision,
      });
    }
    item.resolve(outcome);
  }

  return {
    submit: (job, configuration, deadlineAt) =>
      new Promise((resolve) => {
        waiting.push({
          job,
          configuration,
          deadlineAt,
          startedAt: performance.now(),
          uncertain: false,
          resolve,
        });
        scheduleBatches();
      }),
  };
}
