/**
 * Keeps the configuration in force current: follows its key and reads it at an interval as well, because
 * a feed can go silent without an error.
 */
import type { EventLog } from '../observability/index.js';
import type { CellConfiguration, ConfigurationHolder } from '../queues/index.js';
import type { StoreEntry, Reachability, KeyValueStore } from '../records/index.js';
import { followPrefix, pause } from '../records/index.js';

/** Well below the 2 s within which a change must be in force; also tells whether the store is there. */
const POLL_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 500;
/** Above the interval of reads and the slowest answer of a slow store. */
const STORE_LOST_MS = 1100;
/**
 * Interval of reads while the store does not answer. They do not wait for each other, because one that hangs
 * says nothing about the moment at which the store is back.
 */
const PROBE_INTERVAL_MS = 150;
/** A read was not answered in its time, and the next is due. */
const UNANSWERED_MS = 1000;
const WATCH_WAIT_MS = 5000;
/** A confirmation that is already so old shortens the pause before the next read. */
const MAX_HEAD_START_MS = 400;

export interface ConfigurationFeed {
  /** Monotonic milliseconds of the last read that found the present configuration. */
  readonly confirmedAt: number;
  /** The store was not reached for so long that callers should try another host. */
  readonly isStoreLost: boolean;
  adopt(entry: StoreEntry): void;
  /** A write under the condition that this revision is in force took effect after `sentAt` (monotonic). */
  recordConfirmation(revision: number, sentAt: number): void;
  /** Reads the configuration; calls at the same time share a read. */
  refresh(): Promise<void>;
  stop(): void;
}

export interface ConfigurationFeedOptions {
  readonly store: KeyValueStore;
  readonly key: string;
  readonly decode: (text: string) => CellConfiguration | undefined;
  readonly holder: ConfigurationHolder;
  /** Is told of each answer. */
  readonly reachability: Reachability;
  readonly events: EventLog;
}

export function createConfigurationFeed(options: ConfigurationFeedOptions): ConfigurationFeed {
  const { store, key, decode, holder, reachability, events } = options;
  let confirmedAt = -Infinity;
  let stopped = false;
  let reading: Promise<void> | undefined;

  function adopt(entry: StoreEntry) {
    if (entry.key !== key) return;
    const configuration = decode(entry.value);
    if (configuration === undefined) {
      events.error('configuration-unreadable', { revision: entry.revision });
      return;
    }
    holder.adoptIfNewer({ configuration, revision: entry.revision });
  }

  async function read() {
    const sentAt = performance.now();
    const found = await store.get(key, { timeoutMs: CALL_TIMEOUT_MS });
    if (found.isErr()) return;
    confirmedAt = Math.max(confirmedAt, sentAt);
    reachability.recordAnswer();
    if (found.value !== undefined) adopt(found.value);
  }

  function refresh(): Promise<void> {
    reading ??= read().finally(() => {
      reading = undefined;
    });
    return reading;
  }

  // Reads at an interval bound the age, so the feed only has to be quick about changes.
  const follower = followPrefix({
    waitMs: WATCH_WAIT_MS,
    store,
    prefix: key,
    events,
    reachability,
    onListing: (entries) => {
      for (const entry of entries) adopt(entry);
    },
    onChange: ({ key: changed, value, revision }) => {
      if (value !== undefined) adopt({ key: changed, value, revision });
    },
  });

  async function poll() {
    while (!stopped) {
      const ageMs = performance.now() - confirmedAt;
      const unanswered = ageMs > UNANSWERED_MS;
      await pause(
        unanswered ? PROBE_INTERVAL_MS : POLL_INTERVAL_MS - Math.min(ageMs, MAX_HEAD_START_MS),
      );
      if (unanswered) void read();
      else if (performance.now() - confirmedAt >= POLL_INTERVAL_MS) await refresh();
    }
  }
  void poll();

  function latestConfirmation(): number {
    return Math.max(confirmedAt, follower.revision > 0 ? follower.confirmedAt : -Infinity);
  }

  return {
    get confirmedAt() {
      return latestConfirmation();
    },
    get isStoreLost() {
      return performance.now() - latestConfirmation() > STORE_LOST_MS;
    },
    adopt,
    recordConfirmation: (revision, sentAt) => {
      // A later revision was adopted meanwhile, so this one is not the present one any more.
      if (holder.current?.revision !== revision) return;
      confirmedAt = Math.max(confirmedAt, sentAt);
      reachability.recordAnswer();
    },
    refresh,
    stop: () => {
      stopped = true;
      follower.stop();
    },
  };
}
