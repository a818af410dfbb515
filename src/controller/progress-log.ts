/**
 * Write-ahead log of job progress. The leader writes what it is about to order before the order leaves
 * the host, and what has ended before the end is acknowledged. Writes of many jobs are joined into one
 * transaction, which holds only while this host leads.
 *
 * A write whose answer was lost may still happen. Each write is conditioned on the revision that it
 * replaces, so at most one of several attempts takes effect, and a conflict tells which one did.
 */
import type { EventLog } from '../observability/index.js';
import type { Condition, StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { MAX_TRANSACTION_ENTRIES, pause, abandonWriteOnRecovery } from '../records/index.js';

/**
 * Who waits for a write. `order`: an order that must be durable before it leaves. `outcome`: a caller who asks for
 * the job. `note`: nobody but the worker, which goes on listing the end.
 */
export type WriteUrgency = 'order' | 'outcome' | 'note';

export interface ProgressLog {
  /** Resolves once the job's present state is durable; to false if this host no longer leads. */
  write(job: string, urgency: WriteUrgency): Promise<boolean>;
  /** Sets the revision of a record that was read from the store. */
  setRevision(job: string, revision: number): void;
  /** Uses the condition of a renewed term. */
  updateCondition(condition: Condition): void;
  /** Records that wait to be written. */
  readonly pending: number;
  /** Resolves when nothing waits. */
  drain(): Promise<void>;
  /** Fails all waiting writes. */
  close(): void;
}

export interface ProgressLogOptions {
  readonly store: KeyValueStore;
  readonly condition: Condition;
  readonly keyOf: (job: string) => string;
  /** Other keys of the job that the write of its present state removes. */
  readonly removalsOf?: (job: string) => readonly string[];
  /** The job's present state; undefined if the job is no longer known. */
  readonly encode: (job: string) => string | undefined;
  readonly reachability?: Reachability;
  readonly events: EventLog;
  /** Another host leads. */
  readonly onLeadershipLost: (reason: string) => void;
  /** The key of this term is gone, but nobody else leads yet. */
  readonly onLeaderKeyMissing: () => void;
  readonly gatherMs?: Readonly<Record<WriteUrgency, number>>;
}

/**
 * Longest wait in milliseconds for other writes to share the call; calls are billed and limited. An order has
 * 750 ms of slack at best, callers ask again after seconds, and a worker answers its next renewal with the same ends.
 */
const GATHER_MS = { order: 4, outcome: 15, note: 60 } as const;
/** Transactions in flight; more would only help while the store is slow. */
const MAX_IN_FLIGHT = 4;
/** Each job takes a condition and a write. */
const ENTRIES_PER_JOB = 2;
const RETRY_MS = 60;
const CALL_TIMEOUT_MS = 700;

interface Slot {
  /** Revision of the stored record; 0 if there is none. */
  revision: number;
  /** Values of attempts whose outcome is unknown. */
  attempts: string[];
  /** Callers that wait for the next write to start. */
  waiters: ((durable: boolean) => void)[];
  dirty: boolean;
  inFlight: boolean;
}

interface BatchItem {
  readonly job: string;
  readonly slot: Slot;
  readonly value: string;
  readonly removals: readonly string[];
  readonly waiters: ((durable: boolean) => void)[];
}

export function createProgressLog(options: ProgressLogOptions): ProgressLog {
  const { store, events, keyOf, removalsOf = () => [], gatherMs = GATHER_MS } = options;
  const slots = new Map<string, Slot>();
  const queue = new Set<string>();
  let condition = options.condition;
  let inFlight = 0;
  let timer: NodeJS.Timeout | undefined;
  /** Monotonic time at which the timer fires. */
  let dueAt = Infinity;
  let closed = false;
  let idleWaiters: (() => void)[] = [];

  function slotOf(job: string): Slot {
    let slot = slots.get(job);
    if (slot === undefined) {
      slot = { revision: 0, attempts: [], waiters: [], dirty: false, inFlight: false };
      slots.set(job, slot);
    }
    return slot;
  }

  function schedule(delayMs: number) {
    const at = performance.now() + delayMs;
    if (closed || at >= dueAt) return;
    clearTimeout(timer);
    dueAt = at;
    timer = setTimeout(launch, delayMs);
  }

  function launch() {
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
    // One entry is the leader's condition.
    let left = MAX_TRANSACTION_ENTRIES - 1;
    for (const job of queue) {
      const slot = slotOf(job);
      if (slot.inFlight) continue;
      const removals = removalsOf(job);
      left -= ENTRIES_PER_JOB + removals.length;
      if (left < 0) break;
      queue.delete(job);
      const value = options.encode(job);
      const { waiters } = slot;
      slot.waiters = [];
      slot.dirty = false;
      if (value === undefined) {
        for (const resolve of waiters) resolve(true);
        slots.delete(job);
        continue;
      }
      slot.inFlight = true;
      batch.push({ job, slot, value, removals, waiters });
    }
    return batch;
  }

  async function commit(batch: readonly BatchItem[]): Promise<void> {
    const write = store.transact(
      {
        conditions: [
          condition,
          ...batch.map(({ job, slot }) => ({ key: keyOf(job), revision: slot.revision })),
        ],
        writes: batch.map(({ job, value }) => ({ key: keyOf(job), value })),
        removals: batch.flatMap(({ removals }) => removals),
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    const outcome = await abandonWriteOnRecovery(write, options.reachability);
    if (outcome.isOk() && outcome.value.kind === 'committed') {
      for (const item of batch) settle(item, outcome.value.revision);
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

  /** A conflict is either a lost office or an earlier attempt of this log that did take effect. */
  async function resolveConflict(batch: readonly BatchItem[], entries: readonly StoreEntry[]) {
    const leaderEntry = entries.find(({ key }) => key === condition.key);
    if (leaderEntry === undefined) {
      options.onLeaderKeyMissing();
      for (const item of batch) retry(item, false);
      await pause(RETRY_MS);
      return;
    }
    if (leaderEntry.revision !== condition.revision) {
      for (const item of batch) item.slot.inFlight = false;
      options.onLeadershipLost('the leadership key has changed');
      for (const item of batch) for (const resolve of item.waiters) resolve(false);
      return;
    }
    for (const item of batch) {
      const found = entries.find(({ key }) => key === keyOf(item.job));
      const revision = found?.revision ?? 0;
      if (revision !== item.slot.revision) {
        const own = found !== undefined && item.slot.attempts.includes(found.value);
        const fields = { job: item.job, expected: item.slot.revision, found: revision };
        if (own) events.info('progress-write-resolved', fields);
        else events.error('progress-record-changed-by-another', fields);
        item.slot.revision = revision;
        item.slot.attempts = [];
        if (own && found.value === item.value) {
          settle(item, revision);
          continue;
        }
      }
      retry(item, false);
    }
  }

  function settle({ job, slot, waiters }: BatchItem, revision: number) {
    slot.revision = revision;
    slot.attempts = [];
    slot.inFlight = false;
    if (slot.dirty) queue.add(job);
    for (const resolve of waiters) resolve(true);
  }

  function retry({ job, slot, value, waiters }: BatchItem, mayHaveHappened: boolean) {
    if (mayHaveHappened) slot.attempts.push(value);
    slot.inFlight = false;
    slot.dirty = true;
    slot.waiters.unshift(...waiters);
    if (closed) {
      for (const resolve of slot.waiters.splice(0)) resolve(false);
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
      const slot = slotOf(job);
      slot.dirty = true;
      queue.add(job);
      schedule(gatherMs[urgency]);
      return new Promise((resolve) => {
        slot.waiters.push(resolve);
      });
    },
    setRevision: (job, revision) => {
      slotOf(job).revision = revision;
    },
    updateCondition: (next) => {
      condition = next;
    },
    get pending() {
      return queue.size;
    },
    drain: () => {
      launch();
      if (queue.size === 0 && inFlight === 0) return Promise.resolve();
      return new Promise((resolve) => {
        idleWaiters.push(resolve);
      });
    },
    close: () => {
      closed = true;
      clearTimeout(timer);
      for (const slot of slots.values())
        for (const resolve of slot.waiters.splice(0)) resolve(false);
      queue.clear();
      for (const resolve of idleWaiters) resolve();
      idleWaiters = [];
    },
  };
}
