/**
 * Follows all keys under a prefix: lists them once, then watches for changes. The keys are listed again
 * after a failed watch, after a compaction of the history and at a fixed interval, so that a follower
 * never lags by more than that interval while the store answers. An error in a handler does not end the follower: one
 * in that of a change is contained, and after one in that of a listing the keys are listed again.
 */
import { createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { StoreChange, StoreEntry, KeyValueStore, StoreFailure } from './key-value-store.js';
import { pause } from './pause.js';
import { abandonOnRecovery } from './reachability.js';
import type { Reachability } from './reachability.js';

/** Longest wait of one watch call; a dead connection is detected after this plus the call's slack, or its timeout. */
const WATCH_WAIT_MS = 1500;
/** Delay after a failed call. The store is rate-limited, so a follower must not retry in a tight loop. */
const RETRY_MS = 100;
/** Interval of full listings, in case a watch misses changes without an error. */
const REFRESH_MS = 15_000;

export interface PrefixFollower {
  /** Revision up to which changes have been applied; 0 before the first listing. */
  readonly revision: number;
  /**
   * When the last call was sent that shows the content to be current, in monotonic milliseconds. Minus infinity before
   * the first listing.
   */
  readonly confirmedAt: number;
  stop(): void;
}

export interface FollowOptions {
  readonly store: KeyValueStore;
  readonly prefix: string;
  readonly events: EventLog;
  readonly meters?: Meters | undefined;
  /** Called with the complete content; keys that are missing no longer exist. */
  readonly onListing: (entries: readonly StoreEntry[]) => void;
  readonly onChange: (change: StoreChange) => void;
  readonly waitMs?: number;
  /** Timeouts of a watch, which includes its wait, and of a listing; by default those of the store. */
  readonly watchTimeoutMs?: number;
  readonly listTimeoutMs?: number;
  readonly refreshMs?: number;
  /**
   * Calls whose success shows the content to be current. A watch can miss a change without an error, so content that
   * must not be outdated is confirmed by listings alone. By default, `calls` of both kinds.
   */
  readonly confirmedBy?: 'calls' | 'listings';
  /** Delay between a batch of changes and the next call, so that changes share calls; 0 by default. */
  readonly batchDelayMs?: number;
  /** Signals when a hanging call should be abandoned. */
  readonly reachability?: Reachability;
}

/** Follows a prefix until `stop` is called. */
export function followPrefix(options: FollowOptions): PrefixFollower {
  const {
    store,
    prefix,
    events,
    waitMs = WATCH_WAIT_MS,
    refreshMs = REFRESH_MS,
    confirmedBy = 'calls',
    batchDelayMs = 0,
  } = options;
  const state = { revision: 0, confirmedAt: -Infinity, listed: false, stopped: false, listedAt: 0 };
  const { listTimeoutMs, watchTimeoutMs } = options;
  const listOptions = listTimeoutMs === undefined ? {} : { timeoutMs: listTimeoutMs };
  const watchOptions = watchTimeoutMs === undefined ? {} : { timeoutMs: watchTimeoutMs };
  const faults = createFaultContainment({ events, meters: options.meters });
  let reachable = true;
  /** Number of the current call; the response to an abandoned call is ignored. */
  let currentCall = 0;

  function reportFailure(call: string, failure: StoreFailure) {
    if (failure.kind === 'compacted') state.listed = false;
    if (!reachable) return;
    reachable = failure.kind === 'compacted';
    events.warn('store-feed-interrupted', {
      prefix,
      call,
      failure: failure.kind,
      detail: failure.detail,
      revision: state.revision,
    });
  }

  function reportSuccess(call: 'list' | 'watch', sentAt: number) {
    if (call === 'list' || confirmedBy === 'calls') state.confirmedAt = sentAt;
    if (reachable) return;
    reachable = true;
    events.info('store-feed-regained', { prefix, revision: state.revision });
  }

  async function listOnce(): Promise<boolean> {
    const sentAt = performance.now();
    const call = (currentCall += 1);
    const listing = await store.list(prefix, listOptions);
    if (call !== currentCall) return false;
    if (listing.isErr()) {
      reportFailure('list', listing.error);
      return false;
    }
    if (state.stopped) return false;
    // A listing that is older than the applied changes must not undo them.
    if (listing.value.revision < state.revision) return false;
    // If this fails, the content is not current, and the loop is run again with a fresh listing.
    options.onListing(listing.value.entries);
    state.revision = listing.value.revision;
    state.listed = true;
    state.listedAt = sentAt;
    reportSuccess('list', sentAt);
    return true;
  }

  async function watchOnce(): Promise<boolean> {
    const sentAt = performance.now();
    const call = (currentCall += 1);
    const batch = await store.watch(prefix, state.revision, waitMs, watchOptions);
    if (call !== currentCall) return false;
    if (batch.isErr()) {
      reportFailure('watch', batch.error);
      // The watch may have missed changes for some time before it failed.
      state.listed = false;
      return false;
    }
    if (state.stopped) return false;
    reportSuccess('watch', sentAt);
    // Only delivered changes move the position. A watch that hears of no change reports the store's revision as well,
    // and a position at that revision would skip what it has missed.
    const delivered = batch.value.changes.map(({ revision }) => revision);
    state.revision = Math.max(state.revision, ...delivered);
    for (const change of batch.value.changes) {
      faults.contain(`change of ${prefix}`, { key: change.key }, () => {
        options.onChange(change);
      });
    }
    if (batchDelayMs > 0 && batch.value.changes.length > 0) await pause(batchDelayMs);
    return true;
  }

  async function run() {
    while (!state.stopped) {
      const listingDue = !state.listed || performance.now() - state.listedAt > refreshMs;
      const call = listingDue ? listOnce() : watchOnce();
      const outcome = await abandonOnRecovery(call, options.reachability, 'given-up' as const);
      if (outcome === 'given-up') {
        currentCall += 1;
        state.listed = false;
      } else if (!outcome) await pause(RETRY_MS);
    }
  }

  faults.keepRunning(`follow ${prefix}`, () => {
    state.listed = false;
    return run();
  });
  return {
    get revision() {
      return state.revision;
    },
    get confirmedAt() {
      return state.confirmedAt;
    },
    stop: () => {
      state.stopped = true;
    },
  };
}
