/**
 * Keeps the configuration up to date: watches its key and also polls it, because a watch can stop
 * delivering changes without an error.
 */
import { createEntryReader, createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type {
  CellConfiguration,
  ConfigurationHolder,
  ConfigurationSource,
} from '../queues/index.js';
import type { StoreEntry, Reachability, KeyValueStore, StoreFailure } from '../records/index.js';
import { followPrefix, pause } from '../records/index.js';

/** Well below the 2 s within which a change must be in force. Polls also detect an outage of the store. */
const POLL_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 500;
/** Above the poll interval plus the slowest answer of a slow store. */
const STORE_LOST_MS = 1100;
/**
 * Interval of reads while the store does not answer. They are sent concurrently, because a read that hangs
 * would delay the detection of the recovery.
 */
const PROBE_INTERVAL_MS = 150;
/** At this age of the last confirmation, a read has not been answered in time and the next one is due. */
const READ_OVERDUE_MS = 1000;
const WATCH_WAIT_MS = 5000;
/** Maximum age of the last confirmation that is deducted from the delay before the next poll. */
const MAX_CREDITED_AGE_MS = 400;

export interface ConfigurationFeed {
  /**
   * When the configuration was last confirmed as current, in monotonic milliseconds; minus infinity while a later one is
   * known to exist, which has not been read or cannot be read.
   */
  readonly confirmedAt: number;
  /** Whether the store has been unreachable for so long that callers should try another host. */
  readonly isStoreLost: boolean;
  /** Whether a read can be expected to succeed: the store is not lost, or the last read has not failed. */
  readonly canRefresh: boolean;
  adopt(entry: StoreEntry, source: ConfigurationSource): void;
  /** Records that a configuration of this revision exists, and reads it if it is later than the present one. */
  noteRevision(revision: number): void;
  /** Records that a write conditioned on this revision, sent at `sentAt` (monotonic), has committed. */
  recordConfirmation(revision: number, sentAt: number): void;
  /** Reads the configuration; concurrent calls share one read. */
  refresh(): Promise<void>;
  stop(): void;
}

export interface ConfigurationFeedOptions {
  readonly store: KeyValueStore;
  readonly key: string;
  readonly decode: (text: string) => CellConfiguration | undefined;
  readonly holder: ConfigurationHolder;
  /** Notified of each answer of the store. */
  readonly reachability: Reachability;
  readonly events: EventLog;
  readonly meters?: Meters | undefined;
}

export function createConfigurationFeed(options: ConfigurationFeedOptions): ConfigurationFeed {
  const { store, key, decode, holder, reachability, events, meters } = options;
  const faults = createFaultContainment({ events, meters });
  const configurations = createEntryReader({
    prefix: key,
    event: 'configuration-unreadable',
    events,
    meters,
  });
  /** When the last call was sent whose answer tells the revision in force. */
  let answeredAt = -Infinity;
  let latestRevision = 0;
  let stopped = false;
  let pendingRead: Promise<void> | undefined;
  /** Whether the last read has failed, so that a series of failures is logged once. */
  let isFailing = false;

  function adopt(entry: StoreEntry, source: ConfigurationSource) {
    if (entry.key !== key) return;
    latestRevision = Math.max(latestRevision, entry.revision);
    faults.contain('configuration', { revision: entry.revision }, () => {
      const configuration = configurations.read(entry, decode);
      if (configuration === undefined) return;
      holder.adoptIfNewer({ configuration, revision: entry.revision }, source);
    });
  }

  function reportFailure({ kind, detail }: StoreFailure) {
    meters?.configurationReadFailures.inc({ failure: kind });
    if (isFailing) return;
    isFailing = true;
    events.warn('configuration-read-failed', {
      failure: kind,
      detail,
      revision: holder.current?.revision,
      ageMs: Math.round(performance.now() - latestAnswer()),
    });
  }

  async function read() {
    const sentAt = performance.now();
    const found = await store.get(key, { timeoutMs: CALL_TIMEOUT_MS, priority: 'high' });
    if (found.isErr()) {
      reportFailure(found.error);
      return;
    }
    isFailing = false;
    answeredAt = Math.max(answeredAt, sentAt);
    reachability.recordAnswer();
    if (found.value !== undefined) adopt(found.value, 'read');
  }

  function refresh(): Promise<void> {
    pendingRead ??= read().finally(() => {
      pendingRead = undefined;
    });
    return pendingRead;
  }

  // Polls bound the age of the configuration; the watch only makes changes arrive sooner.
  const follower = followPrefix({
    waitMs: WATCH_WAIT_MS,
    store,
    prefix: key,
    events,
    meters,
    reachability,
    onListing: (entries) => {
      for (const entry of entries) adopt(entry, 'listing');
    },
    onChange: ({ key: changed, value, revision }) => {
      if (value !== undefined) adopt({ key: changed, value, revision }, 'watch');
    },
  });

  async function poll() {
    while (!stopped) {
      const ageMs = performance.now() - answeredAt;
      const overdue = ageMs > READ_OVERDUE_MS;
      await pause(
        overdue ? PROBE_INTERVAL_MS : POLL_INTERVAL_MS - Math.min(ageMs, MAX_CREDITED_AGE_MS),
      );
      if (overdue) void read();
      else if (performance.now() - answeredAt >= POLL_INTERVAL_MS) await refresh();
    }
  }
  faults.keepRunning('poll the configuration', poll);

  function latestAnswer(): number {
    return Math.max(answeredAt, follower.revision > 0 ? follower.confirmedAt : -Infinity);
  }

  function isStoreLost(): boolean {
    return performance.now() - latestAnswer() > STORE_LOST_MS;
  }

  function isBehind(): boolean {
    return latestRevision > (holder.current?.revision ?? 0);
  }

  return {
    get confirmedAt() {
      return isBehind() ? -Infinity : latestAnswer();
    },
    get isStoreLost() {
      return isStoreLost();
    },
    get canRefresh() {
      // A delayed event loop alone makes the last confirmation as old as the loss of the store does.
      return !isFailing || !isStoreLost();
    },
    adopt,
    noteRevision: (revision) => {
      if (revision <= latestRevision) return;
      latestRevision = revision;
      void refresh();
    },
    recordConfirmation: (revision, sentAt) => {
      // Another revision is in force by now, so the write says nothing about it.
      if (holder.current?.revision !== revision) return;
      answeredAt = Math.max(answeredAt, sentAt);
      reachability.recordAnswer();
    },
    refresh,
    stop: () => {
      stopped = true;
      follower.stop();
    },
  };
}
