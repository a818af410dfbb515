/**
 * Accepts jobs: a job is accepted once its record is durable. Submissions that arrive together share a
 * transaction. Each is conditioned on the configuration that allowed it, so that no job is accepted under
 * a configuration that has been replaced.
 *
 * A write whose answer was lost is repeated under the same condition until it is settled: either an
 * attempt commits, or the conflict shows that an earlier one did. At a host that has lost the store its outcome
 * stays unknown, and the caller is told so at once, so that it can ask another host while it still waits.
 */
import type { Job } from '../jobs/index.js';
import { encodeJob, JOB_STORE_KEYS } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { Condition, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { pause, abandonWriteOnRecovery } from '../records/index.js';

/**
 * `unknown`: the job may be accepted; the same id sent again finds out. `replaced`: the configuration has
 * changed and the submission must be judged again.
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
  /** The store was not reached for so long that callers should try another host. */
  readonly isStoreLost?: () => boolean;
  /** Jobs were accepted under the configuration, which was in force at `sentAt` (monotonic milliseconds). */
  readonly onCommitted?: (jobs: readonly Job[], configuration: Condition, sentAt: number) => void;
}

const GATHER_MS = 3;
/** Each job takes two conditions and a write; the configuration's condition takes one entry. */
const JOBS_PER_TRANSACTION = 10;
const RETRY_MS = 80;
const CALL_TIMEOUT_MS = 700;
/** A store that keeps refusing is not asked longer than this; the leader or another host is tried then. */
const MAX_REFUSED_MS = 150;

interface Item {
  readonly job: Job;
  readonly configuration: Condition;
  readonly deadlineAt: number;
  readonly startedAt: number;
  /** An attempt may have taken effect. */
  uncertain: boolean;
  readonly resolve: (outcome: SubmissionOutcome) => void;
}

export function createSubmissionBatcher(options: SubmissionBatcherOptions): SubmissionBatcher {
  const { store, events, batchDelayMs = GATHER_MS } = options;
  let waiting: Item[] = [];
  let scheduled = false;

  function schedule() {
    if (scheduled) return;
    scheduled = true;
    setTimeout(() => {
      scheduled = false;
      launch();
    }, batchDelayMs);
  }

  function launch() {
    while (waiting.length > 0) {
      const first = waiting[0];
      // Submissions of one transaction share the configuration and name each id once.
      const batch: Item[] = [];
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

  async function commit(batch: readonly Item[]): Promise<void> {
    const [first] = batch;
    if (first === undefined) return;
    const sentAt = performance.now();
    const write = store.transact(
      {
        conditions: [
          first.configuration,
          // A job that has ended is only known by its progress.
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
    for (const item of batch) repeat(item);
  }

  function resolveConflict(batch: readonly Item[], entries: readonly StoreEntry[]) {
    for (const item of batch) {
      const { id } = item.job;
      const existing = entries.some(
        ({ key }) => key === JOB_STORE_KEYS.job(id) || key === JOB_STORE_KEYS.progressOf(id),
      );
      const configuration = entries.find(({ key }) => key === item.configuration.key);
      // A job that exists was accepted before, here or at another host.
      if (existing) settle(item, { kind: 'accepted' });
      else if (configuration?.revision !== item.configuration.revision) {
        settle(item, item.uncertain ? { kind: 'unknown' } : { kind: 'replaced', configuration });
      } else repeat(item);
    }
  }

  function repeat(item: Item) {
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
    schedule();
  }

  function settle(item: Item, outcome: SubmissionOutcome) {
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
        schedule();
      }),
  };
}
