/**
 * Records which workers have been silent and how long their leases may still last, so that a successor need not wait for
 * the longest lease that any leader could have granted. Each entry is a promise: the lease of the worker is extended by
 * no one before the entry has been removed, and only the present leader can remove it.
 *
 * The record holds times that are left, never a time of one host's clock, and it is read after the election, when the
 * former leader can no longer change it. What was left then is left at most from the moment at which this host has
 * first seen the record as it stands.
 */
import { z } from 'zod';
import type { WorkerIncarnation } from '../jobs/index.js';
import { TOKENS_PER_TERM } from '../leadership/index.js';
import type { Condition, KeyValueStore, StoreEntry } from '../records/index.js';
import { createLatestValueRecord } from '../records/index.js';

/** Under the prefix that all hosts follow. */
export const SILENT_WORKERS_KEY = 'leadership/silent-workers';

/** A worker whose lease is not extended. */
export interface SilentWorker {
  readonly incarnation: WorkerIncarnation;
  /** Milliseconds after which its lease has certainly expired. */
  readonly leaseLeftMs: number;
}

/** A state of the record that this host has seen. */
export interface SeenRecord {
  readonly revision: number;
  /** Monotonic milliseconds at which this host has first seen this revision. */
  readonly at: number;
}

export interface SilentWorkers {
  /** Applies the record as the former leader left it; undefined if there is none. */
  readonly restore: (entry: StoreEntry | undefined) => void;
  /** Monotonic time after which the lease has certainly expired, if the former leader recorded the worker. */
  leaseEndOf(incarnation: WorkerIncarnation): number | undefined;
  /**
   * Whether the lease may be extended: a successor would take the worker for one that has none if it were. Runs of a
   * recorded incarnation may have been handed over to a later one, which the store does not know yet.
   */
  mayExtend(incarnation: WorkerIncarnation): boolean;
  /** Writes the record if the silent workers or the ends of their leases have changed, or if it has become old. */
  publish(silent: readonly SilentWorker[]): Promise<void>;
}

export interface SilentWorkersOptions {
  readonly store: KeyValueStore;
  /** Epoch of the present term. */
  readonly epoch: number;
  /** A transaction condition that holds as long as this host leads. */
  readonly condition: () => Condition;
  /** What this host has seen of the record before its election. */
  readonly seen?: SeenRecord | undefined;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

/** Time after which the record is written again with what is left by then. */
const REFRESH_MS = 2000;
/** Two readings of the same end of a lease differ by less, and its margin is several times as long. */
const LATER_END_MS = 50;

const recordSchema = z.object({
  /** Epoch of the leader that has written the record. */
  epoch: z.int().nonnegative(),
  /** Id and start time of each worker, and what is left of its lease in milliseconds. */
  workers: z.array(z.tuple([z.string(), z.number(), z.number().nonnegative()])),
});

type SilentWorkersRecord = z.infer<typeof recordSchema>;

const keyOf = ({ id, born }: WorkerIncarnation) => `${id}@${String(born)}`;

export function createSilentWorkers(options: SilentWorkersOptions): SilentWorkers {
  const { epoch, now = () => performance.now() } = options;
  const record = createLatestValueRecord({ ...options, key: SILENT_WORKERS_KEY });
  const leaseEnds = new Map<string, number>();
  let isRestored = false;
  /** Workers that the record may name, also after a write whose outcome is unknown. */
  let recorded: ReadonlySet<string> = new Set();
  let recordedIds: ReadonlySet<string> = new Set();
  /** Monotonic times at which the leases end by the last record that was written. */
  let recordedEnds: ReadonlyMap<string, number> = new Map();
  let writtenAt = -Infinity;
  let isPublishing = false;

  function restore(entry: StoreEntry | undefined) {
    const seenAt = entry?.revision === options.seen?.revision ? options.seen?.at : undefined;
    const readAt = seenAt ?? now();
    const found = entry === undefined ? undefined : decodeRecord(entry.value);
    const isKept = found !== undefined && isKeptUntil(epoch, found);
    for (const [id, born, leaseLeftMs] of isKept ? found.workers : []) {
      leaseEnds.set(keyOf({ id, born }), readAt + leaseLeftMs);
    }
    noteRecorded(leaseEnds.keys());
    isRestored = true;
  }

  function noteRecorded(keys: Iterable<string>) {
    recorded = new Set(keys);
    recordedIds = new Set([...recorded].map((key) => key.slice(0, key.lastIndexOf('@'))));
  }

  function isOutdated(ends: ReadonlyMap<string, number>): boolean {
    if (ends.size !== recorded.size) return true;
    // The end of a lease becomes later when an answer shows that a later incarnation has taken an order.
    const isLater = ([key, end]: [string, number]) =>
      end > (recordedEnds.get(key) ?? -Infinity) + LATER_END_MS;
    if ([...ends].some(isLater)) return true;
    return ends.size > 0 && now() - writtenAt >= REFRESH_MS;
  }

  async function publish(silent: readonly SilentWorker[]) {
    const startedAt = now();
    const ends = new Map(
      silent.map(({ incarnation, leaseLeftMs }) => [keyOf(incarnation), startedAt + leaseLeftMs]),
    );
    if (!isRestored || isPublishing || !isOutdated(ends)) return;
    isPublishing = true;
    noteRecorded([...recorded, ...ends.keys()]);
    const workers = silent.map(({ incarnation, leaseLeftMs }): [string, number, number] => [
      incarnation.id,
      incarnation.born,
      Math.ceil(leaseLeftMs),
    ]);
    const next: SilentWorkersRecord = { epoch, workers };
    try {
      if (!(await record.write(JSON.stringify(next)))) return;
      noteRecorded(ends.keys());
      recordedEnds = ends;
      writtenAt = startedAt;
    } finally {
      isPublishing = false;
    }
  }

  return {
    restore,
    leaseEndOf: (incarnation) => leaseEnds.get(keyOf(incarnation)),
    mayExtend: ({ id }) => isRestored && !recordedIds.has(id),
    publish,
  };
}

/**
 * Whether all leaders since the record was written keep it. Those of an older version extend leases whatever it says; they
 * raise the epoch by one.
 */
function isKeptUntil(epoch: number, record: SilentWorkersRecord): boolean {
  return record.epoch <= epoch && (epoch - record.epoch) % TOKENS_PER_TERM === 0;
}

/** Decodes the record; one that cannot be read names no worker, whose leases then count as the longest. */
function decodeRecord(text: string): SilentWorkersRecord | undefined {
  try {
    return recordSchema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
