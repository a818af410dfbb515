/**
 * Write-ahead log of job progress. The leader writes an order before sending it, and the end of a run before
 * acknowledging it. Writes of many jobs are batched into one transaction, which succeeds only while this host leads.
 *
 * A write whose answer was lost may still take effect. Each write is conditioned on the revision that it replaces, so
 * at most one of several attempts takes effect, and the entries of a conflict show which one did.
 */
import type { EventLog } from '../observability/index.js';
import type { Condition, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { MAX_TRANSACTION_ENTRIES, pause, abandonWriteOnRecovery } from '../records/index.js';

/**
 * What waits for a write. `order`: an order, which is sent once the write is durable. `outcome`: a caller who asks for
 * the job. `note`: only the worker, which reports the end again until it is acknowledged.
 */
export type WriteUrgency = 'order' | 'outcome' | 'note';

export interface ProgressLog {
  /** Resolves to true once the job's current state is durable, to false if this host no longer leads. */
  write(job: string, urgency: WriteUrgency): Promise<boolean>;
  /** Sets the revision of a record that was read from the store. */
  setRevision(job: string, revision: number): void;
  /** Drops what is known of a job that is written no more, and returns the revision of its record. */
  forget(job: string): number;
  /** Replaces the leader's condition after the lease was reacquired. */
  updateCondition(condition: Condition): void;
  /** Number of records that wait to be written. */
  readonly pending: number;
  /** Writes all waiting records at once and resolves when none is left. */
  drain(): Promise<void>;
  /** Fails all waiting writes. */
  close(): void;
}

export interface ProgressLogOptions {
  readonly store: KeyValueStore;
  readonly condition: Condition;
  readonly keyOf: (job: string) => string;
  /** Other keys of the job that are removed together with the write of its current state. */
  readonly removalsOf?: (job: string) => readonly string[];
  /** Encodes the job's current state; undefined if the job is no longer known. */
  readonly encode: (job: string) => string | undefined;
  readonly reachability?: Reachability;
  readonly events: EventLog;
  /** Called when the leader's key shows that another host leads. */
  readonly onLeadershipLost: (reason: string) => void;
  /** Called when the key of this term is gone and no other host leads yet. */
  readonly onLeaderKeyMissing: () => void;
  readonly batchDelayMs?: Readonly<Record<WriteUrgency, number>>;
}

/**
 * Longest delay in milliseconds to batch a write with others, because calls are billed and limited in rate. An order
 * has 750 ms of slack at best, callers ask again after seconds, and a worker reports the same ends with its next
 * renewal.
 */
const BATCH_DELAY_MS = { order: 4, outcome: 15, note: 60 } as const;
/** Transactions in flight at a time; more than four help while the store is slow or this process is busy. */
const MAX_IN_FLIGHT = 8;
/** Bounds the body of a transaction, so that a large record does not hold back those of other jobs. */
const MAX_BATCH_BYTES = 1_000_000;
/** Each job takes a condition and a write. */
const ENTRIES_PER_JOB = 2;
const RETRY_MS = 60;
const CALL_TIMEOUT_MS = 700;

interface RecordState {
  /** Revision of the stored record; 0 if there is none. */
  revision: number;
  /** Values of earlier attempts whose outcome is unknown. */
  attemptedValues: string[];
  /** Callers that wait for the next write to start. */
  waiters: ((durable: boolean) => void)[];
  dirty: boolean;
  inFlight: boolean;
}

interface BatchItem {
  readonly job: string;
  readonly record: RecordState;
  readonly value: string;
  readonly removals: readonly string[];
  readonly waiters: ((durable: boolean) => void)[];
}

export function createProgressLog(options: ProgressLogOptions): ProgressLog {
  const { store, events, keyOf, removalsOf = () => [], batchDelayMs = BATCH_DELAY_MS } = options;
  const records = new Map<string, RecordState>();
  const queue = new Set<string>();
  let condition = options.condition;
  let inFlight = 0;
  let timer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires; infinite if none is set. */
  let dueAt = Infinity;
  let closed = false;
  let idleWaiters: (() => void)[] = [];

  function recordOf(job: string): RecordState {
    let record = records.get(job);
    if (record === undefined) {
      record = { revision: 0, attemptedValues: [], waiters: [], dirty: false, inFlight: false };
      records.set(job, record);
    }
    return record;
  }

  function schedule(delayMs: number) {
    const at = performance.now() + delayMs;
    if (closed || at >= dueAt) return;
    clearTimeout(timer);
    dueAt = at;
    timer = setTimeout(flush, delayMs);
  }

  function flush() {
    clearTimeout(timer);
    dueAt = Infinity;
    while (!closed && inFlight < MAX_IN_FLIGHT && queue.size > 0) {
      const batch = takeBatch();
      if (batch.length === 0) return;
      inFlight += 1;
      void commit(batch).finally(() => {
        inFlight -= 1;
        if (queue.size > 0) schedule(0);
        else notifyIdle();
      });
    }
  }

  function takeBatch(): BatchItem[] {
    const batch: BatchItem[] = [];
    // One entry of the transaction is the leader's condition.
    let left = MAX_TRANSACTION_ENTRIES - 1;
    let bytes = 0;
    for (const job of queue) {
      const record = recordOf(job);
      if (record.inFlight) continue;
      const removals = removalsOf(job);
      left -= ENTRIES_PER_JOB + removals.length;
      if (left < 0) break;
      const value = options.encode(job);
      bytes += value?.length ?? 0;
      if (batch.length > 0 && bytes > MAX_BATCH_BYTES) break;
      queue.delete(job);
      const { waiters } = record;
      record.waiters = [];
      record.dirty = false;
      if (value === undefined) {
        for (const resolve of waiters) resolve(true);
        records.delete(job);
        continue;
      }
      record.inFlight = true;
      batch.push({ job, record, value, removals, waiters });
    }
    return batch;
  }

  async function commit(batch: readonly BatchItem[]): Promise<void> {
    const write = store.transact(
      {
        conditions: [
          condition,
          ...batch.map(({ job, record }) => ({ key: keyOf(job), revision: record.revision })),
        ],
        writes: batch.map(({ job, value }) => ({ key: keyOf(job), value })),
        removals: batch.flatMap(({ removals }) => removals),
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const outcome = await abandonWriteOnRecovery(write, options.reachability);
    if (outcome.isOk() && outcome.value.kind === 'committed') {
      for (const item of batch) markWritten(item, outcome.value.revision);
      return;
    }
    if (outcome.isErr()) {
      events.debug('progress-write-failed', {
        jobs: batch.length,
        failure: outcome.error.kind,
        detail: outcome.error.detail,
      });
      for (const item of batch) retry(item, outcome.error.kind === 'unknown');
      await pause(RETRY_MS);
      return;
    }
    if (outcome.value.kind === 'conflict') {
      await resolveConflict(batch, outcome.value.entries);
      return;
    }
    for (const item of batch) retry(item, false);
    await pause(RETRY_MS);
  }

  /** A conflict means either that leadership was lost or that an earlier attempt of this log took effect. */
  async function resolveConflict(batch: readonly BatchItem[], entries: readonly StoreEntry[]) {
    const leaderEntry = entries.find(({ key }) => key === condition.key);
    if (leaderEntry === undefined) {
      options.onLeaderKeyMissing();
      for (const item of batch) retry(item, false);
      await pause(RETRY_MS);
      return;
    }
    if (leaderEntry.revision !== condition.revision) {
      for (const item of batch) item.record.inFlight = false;
      options.onLeadershipLost('the leadership key has changed');
      for (const item of batch) for (const resolve of item.waiters) resolve(false);
      return;
    }
    for (const item of batch) {
      const found = entries.find(({ key }) => key === keyOf(item.job));
      const revision = found?.revision ?? 0;
      if (revision !== item.record.revision) {
        const own = found !== undefined && item.record.attemptedValues.includes(found.value);
        const fields = { job: item.job, expected: item.record.revision, found: revision };
        if (own) events.info('progress-write-resolved', fields);
        else events.error('progress-record-changed-by-another', fields);
        item.record.revision = revision;
        item.record.attemptedValues = [];
        if (own && found.value === item.value) {
          markWritten(item, revision);
          continue;
        }
      }
      retry(item, false);
    }
  }

  function markWritten({ job, record, waiters }: BatchItem, revision: number) {
    record.revision = revision;
    record.attemptedValues = [];
    record.inFlight = false;
    if (record.dirty) queue.add(job);
    for (const resolve of waiters) resolve(true);
  }

  function retry({ job, record, value, waiters }: BatchItem, mayHaveHappened: boolean) {
    if (mayHaveHappened) record.attemptedValues.push(value);
    record.inFlight = false;
    record.dirty = true;
    record.waiters.unshift(...waiters);
    if (closed) {
      for (const resolve of record.waiters.splice(0)) resolve(false);
      return;
    }
    queue.add(job);
  }

  function notifyIdle() {
    if (queue.size > 0 || inFlight > 0) return;
    for (const resolve of idleWaiters.splice(0)) resolve();
  }

  return {
    write: (job, urgency) => {
      if (closed) return Promise.resolve(false);
      const record = recordOf(job);
      record.dirty = true;
      queue.add(job);
      schedule(batchDelayMs[urgency]);
      return new Promise((resolve) => {
        record.waiters.push(resolve);
      });
    },
    setRevision: (job, revision) => {
      recordOf(job).revision = revision;
    },
    forget: (job) => {
      const record = records.get(job);
      if (record?.dirty === false && !record.inFlight) records.delete(job);
      return record?.revision ?? 0;
    },
    updateCondition: (next) => {
      condition = next;
    },
    get pending() {
      return queue.size;
    },
    drain: () => {
      flush();
      if (queue.size === 0 && inFlight === 0) return Promise.resolve();
      return new Promise((resolve) => {
        idleWaiters.push(resolve);
      });
    },
    close: () => {
      closed = true;
      clearTimeout(timer);
      for (const record of records.values())
        for (const resolve of record.waiters.splice(0)) resolve(false);
      queue.clear();
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    },
  };
}
