/**
 * Reads the configuration from the store: by a watch on one host per data centre, by a slow poll on
 * all hosts, and by extra reads when no host is known to have read it recently.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { rendezvousOrder, type Membership } from '../hosts/index.js';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import type { Store, VersionedValue } from '../platform/index.js';
import { CONFIGURATION_KEY, decodeStored, type ConfigurationRecord } from './record.js';

export interface StoreReader {
  /** Whether the last call succeeded; true before the first one. */
  readonly reachable: () => boolean;
  /**
   * False for messages that may have been buffered while this process was paused, because their
   * contents are older than their time of arrival suggests.
   */
  readonly isMessageAgeReliable: (ageMs: number) => boolean;
  readonly run: (signal: AbortSignal) => Promise<void>;
}

export interface StoreReaderOptions {
  readonly store: Store;
  readonly membership: Membership;
  readonly host: Host;
  readonly now: () => number;
  readonly random: () => number;
  readonly pollMs: number;
  readonly stalenessMs: number;
  readonly log: Log;
  /** Age of the latest read by any host, as far as this host knows. */
  readonly contactAgeMs: () => number;
  /** Called with the record that was read and the time at which the call started. */
  readonly onRecord: (record: ConfigurationRecord, readAt: number) => void;
}

/**
 * Ages of the latest known read at which a watcher and any other host read again, as fractions of
 * the key staleness. Heartbeats spread the time of a read, so usually only one of the watchers
 * reads. The rest of the staleness is left for a heartbeat period and for a failed read.
 */
const WATCHER_READ_AGE_FRACTION = 0.3;
const OTHER_READ_AGE_FRACTION = 0.7;
/** Interval of the check whether a read is due, as a fraction of the key staleness. */
const CHECK_INTERVAL_FRACTION = 0.05;
/** A wait that overruns by this fraction of the key staleness shows that the process was paused. */
const PAUSE_THRESHOLD_FRACTION = 0.2;
/** Minimum mean time between reads, as a fraction of the key staleness; limits them in outages. */
const READ_INTERVAL_FRACTION = 0.2;

export function createStoreReader(options: StoreReaderOptions): StoreReader {
  const { store, membership, host, now, random, stalenessMs, log } = options;
  const checkIntervalMs = stalenessMs * CHECK_INTERVAL_FRACTION;
  let reachable = true;
  let version = 0;
  let lastReadAt = -Infinity;
  let nextReadAt = -Infinity;
  let pollAfterMs = options.pollMs;
  let ageUnreliableUntil = -Infinity;
  let activeWatch: AbortController | undefined;

  function isWatcher(): boolean {
    const candidates = membership
      .live(host.dataCentre)
      .filter((id) =>
        id === host.id ? reachable : membership.heartbeat(id)?.storeReachable === true,
      );
    return rendezvousOrder(`watch/${host.dataCentre}`, candidates)[0] === host.id;
  }

  function isReadDue(): boolean {
    // A time before the last read means that the clock has stepped back.
    if (now() < nextReadAt && now() >= lastReadAt) return false;
    // A host that cannot reach the store keeps trying, because peers rely on what it reports.
    if (!reachable || now() - lastReadAt >= pollAfterMs) return true;
    const ageFraction = isWatcher() ? WATCHER_READ_AGE_FRACTION : OTHER_READ_AGE_FRACTION;
    return options.contactAgeMs() >= ageFraction * stalenessMs;
  }

  function handleFound(found: VersionedValue | undefined, readAt: number): void {
    if (!reachable) log.info('The store is reachable again.');
    reachable = true;
    version = found?.version ?? 0;
    const stored = decodeStored(found);
    if (stored.isErr()) {
      log.error(stored.error);
      return;
    }
    const { revision, changeId, text } = stored.value;
    options.onRecord({ revision, changeId, text }, readAt);
  }

  function handleFailure(detail: string): void {
    if (reachable) log.warn('Cannot reach the store.', { error: detail });
    reachable = false;
  }

  async function read(): Promise<void> {
    const readAt = now();
    lastReadAt = readAt;
    nextReadAt = readAt + stalenessMs * READ_INTERVAL_FRACTION * (0.5 + random());
    pollAfterMs = options.pollMs * (0.5 + random() / 2);
    const found = await store.get(CONFIGURATION_KEY);
    found.match(
      (value) => {
        handleFound(value, readAt);
      },
      (error) => {
        handleFailure(error.detail);
      },
    );
  }

  async function waitForNextCheck(signal: AbortSignal): Promise<void> {
    await delay(checkIntervalMs, undefined, { signal }).catch(() => undefined);
  }

  /** Uses the monotonic clock, because the wall clock may step. */
  async function detectPauses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now();
      await waitForNextCheck(signal);
      const overrunMs = performance.now() - startedAt - checkIntervalMs;
      if (overrunMs > PAUSE_THRESHOLD_FRACTION * stalenessMs)
        ageUnreliableUntil = now() + PAUSE_THRESHOLD_FRACTION * stalenessMs;
    }
  }

  async function runReadLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (isReadDue()) await read();
      // A host that cannot reach the store or is no longer the watcher aborts its watch.
      if (!isWatcher()) activeWatch?.abort();
      await waitForNextCheck(signal);
    }
  }

  async function runWatchLoop(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (isWatcher()) await watchOnce();
      await waitForNextCheck(signal);
    }
  }

  async function watchOnce(): Promise<void> {
    const call = new AbortController();
    const readAt = now();
    activeWatch = call;
    const found = await store.watch(CONFIGURATION_KEY, version, call.signal);
    activeWatch = undefined;
    if (found.isErr()) handleFailure(found.error.detail);
    // The read counts from the start of the call: a value may be that old when it arrives.
    else if (found.value !== undefined) handleFound(found.value, readAt);
  }

  return {
    reachable: () => reachable,
    isMessageAgeReliable: (ageMs) =>
      now() - ageMs >= ageUnreliableUntil ||
      now() < ageUnreliableUntil - PAUSE_THRESHOLD_FRACTION * stalenessMs,
    run: async (signal) => {
      // Ends a pending watch with the signal instead of its own timeout.
      signal.addEventListener('abort', () => activeWatch?.abort(), { once: true });
      await Promise.all([runReadLoop(signal), runWatchLoop(signal), detectPauses(signal)]);
    },
  };
}
