/**
 * Reads the configuration from the store: a watch on one host per data centre, a slow poll on all
 * hosts, and extra reads when no recent read is known from any host.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { rendezvousOrder, type Membership } from '../hosts/index.js';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import type { Store, VersionedValue } from '../platform/index.js';
import { CONFIGURATION_KEY, decodeStored, type ConfigurationRecord } from './record.js';

export interface StoreReader {
  /** Whether the last call succeeded; true before the first one. */
  readonly reachable: () => boolean;
  /**
   * False for messages that may have waited in a buffer while this process was paused, because their
   * contents are older than the time of their arrival says.
   */
  readonly trustsMessagesOfAge: (ageMs: number) => boolean;
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
  /** Age of the newest read that is known from any host. */
  readonly contactAgeMs: () => number;
  /** Takes what was found in the store, and the time at which the call was started. */
  readonly onRecord: (record: ConfigurationRecord, readAt: number) => void;
}

/**
 * Ages of the newest known read at which a watcher and any other host read again, as parts of the key
 * staleness. A read of one host spreads with heartbeats, so usually one watcher of all reads. The rest
 * of the staleness is left for a heartbeat period and for a failed read.
 */
const WATCHER_READ_AGE = 0.3;
const OTHER_READ_AGE = 0.7;
/** How often the need for a read is checked, as a part of the key staleness. */
const TICK = 0.05;
/** Waits that last longer by this part of the key staleness show that the process was paused. */
const PAUSE = 0.2;
/** Mean time between two reads at least, as a part of the key staleness; bounds reads in an outage. */
const READ_GAP = 0.2;

export function createStoreReader(options: StoreReaderOptions): StoreReader {
  const { store, membership, host, now, random, stalenessMs, log } = options;
  const tickMs = stalenessMs * TICK;
  let reachable = true;
  let version = 0;
  let lastReadAt = -Infinity;
  let nextReadAt = -Infinity;
  let pollAfterMs = options.pollMs;
  let distrustUntil = -Infinity;
  let watching: AbortController | undefined;

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
    // A host that has lost the store keeps trying, because others rely on what it reports.
    if (!reachable || now() - lastReadAt >= pollAfterMs) return true;
    const part = isWatcher() ? WATCHER_READ_AGE : OTHER_READ_AGE;
    return options.contactAgeMs() >= part * stalenessMs;
  }

  function noteFound(found: VersionedValue | undefined, readAt: number): void {
    if (!reachable) log.info('Reached the store again.');
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

  function noteFailure(detail: string): void {
    if (reachable) log.warn('Cannot reach the store.', { error: detail });
    reachable = false;
  }

  async function read(): Promise<void> {
    const readAt = now();
    lastReadAt = readAt;
    nextReadAt = readAt + stalenessMs * READ_GAP * (0.5 + random());
    pollAfterMs = options.pollMs * (0.5 + random() / 2);
    const found = await store.get(CONFIGURATION_KEY);
    found.match(
      (value) => {
        noteFound(value, readAt);
      },
      (error) => {
        noteFailure(error.detail);
      },
    );
  }

  async function waitTick(signal: AbortSignal): Promise<void> {
    await pause(tickMs, undefined, { signal }).catch(() => undefined);
  }

  /** Measures with the process's own clock, because the wall clock may step. */
  async function detectPauses(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = performance.now();
      await waitTick(signal);
      const lateMs = performance.now() - startedAt - tickMs;
      if (lateMs > PAUSE * stalenessMs) distrustUntil = now() + PAUSE * stalenessMs;
    }
  }

  async function keepReading(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (isReadDue()) await read();
      // A watcher that has lost the store or its role gives up its call.
      if (!isWatcher()) watching?.abort();
      await waitTick(signal);
    }
  }

  async function keepWatching(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (isWatcher()) await watchOnce();
      await waitTick(signal);
    }
  }

  async function watchOnce(): Promise<void> {
    const call = new AbortController();
    const readAt = now();
    watching = call;
    const found = await store.watch(CONFIGURATION_KEY, version, call.signal);
    watching = undefined;
    if (found.isErr()) noteFailure(found.error.detail);
    // The call's start counts as the time of the read: a value may be that old when it arrives.
    else if (found.value !== undefined) noteFound(found.value, readAt);
  }

  return {
    reachable: () => reachable,
    trustsMessagesOfAge: (ageMs) =>
      now() - ageMs >= distrustUntil || now() < distrustUntil - PAUSE * stalenessMs,
    run: async (signal) => {
      // A watch that waits in the store ends with the signal, not with its own timeout.
      signal.addEventListener('abort', () => watching?.abort(), { once: true });
      await Promise.all([keepReading(signal), keepWatching(signal), detectPauses(signal)]);
    },
  };
}
