/**
 * Follows all keys under a prefix: lists them once, then applies changes as they come. A feed that
 * stays silent or whose history was dropped is replaced by a new listing, so that a follower is
 * never further behind than its refresh interval while the store answers.
 */
import type { EventLog } from '../observability/index.js';
import type { StoreChange, StoreEntry, KeyValueStore, StoreFailure } from './key-value-store.js';
import { pause } from './pause.js';
import { abandonOnRecovery } from './reachability.js';
import type { Reachability } from './reachability.js';

/** How long one watch call may wait; a silent channel is noticed after this and the call's slack. */
const WATCH_WAIT_MS = 1500;
/** Pause after a failed call. The store refuses calls beyond its rate, so a follower must not spin. */
const RETRY_MS = 100;
/** A full listing replaces the feed at this interval, in case the feed misses changes silently. */
const REFRESH_MS = 15_000;

export interface PrefixFollower {
  /** Revision up to which changes were applied; 0 before the first listing. */
  readonly revision: number;
  /** Monotonic milliseconds of the last answer that was current when it was sent. */
  readonly confirmedAt: number;
  stop(): void;
}

export interface FollowOptions {
  readonly store: KeyValueStore;
  readonly prefix: string;
  readonly events: EventLog;
  /** The complete content; keys that are missing no longer exist. */
  readonly onListing: (entries: readonly StoreEntry[]) => void;
  readonly onChange: (change: StoreChange) => void;
  readonly waitMs?: number;
  readonly refreshMs?: number;
  /** Least time from one batch of changes to the next call, so that changes share calls; 0 unless given. */
  readonly batchDelayMs?: number;
  /** Tells when a call that hangs should be given up. */
  readonly reachability?: Reachability;
}

/** Follows a prefix until stopped. */
export function followPrefix(options: FollowOptions): PrefixFollower {
  const {
    store,
    prefix,
    events,
    waitMs = WATCH_WAIT_MS,
    refreshMs = REFRESH_MS,
    batchDelayMs = 0,
  } = options;
  const state = { revision: 0, confirmedAt: 0, listed: false, stopped: false, listedAt: 0 };
  let reachable = true;
  /** Number of the present call; the answer to one that was given up is not used. */
  let current = 0;

  function noteFailure(call: string, failure: StoreFailure) {
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

  function noteSuccess(sentAt: number) {
    state.confirmedAt = sentAt;
    if (reachable) return;
    reachable = true;
    events.info('store-feed-regained', { prefix, revision: state.revision });
  }

  async function listOnce(): Promise<boolean> {
    const sentAt = performance.now();
    const call = (current += 1);
    const listing = await store.list(prefix);
    if (call !== current) return false;
    if (listing.isErr()) {
      noteFailure('list', listing.error);
      return false;
    }
    if (state.stopped) return false;
    // A listing that is older than what was applied already must not undo it.
    if (listing.value.revision < state.revision) return false;
    state.revision = listing.value.revision;
    state.listed = true;
    state.listedAt = sentAt;
    noteSuccess(sentAt);
    options.onListing(listing.value.entries);
    return true;
  }

  async function watchOnce(): Promise<boolean> {
    const sentAt = performance.now();
    const call = (current += 1);
    const feed = await store.watch(prefix, state.revision, waitMs);
    if (call !== current) return false;
    if (feed.isErr()) {
      noteFailure('watch', feed.error);
      // A channel that went silent may have missed changes for a while already.
      state.listed = false;
      return false;
    }
    if (state.stopped) return false;
    noteSuccess(sentAt);
    state.revision = Math.max(state.revision, feed.value.revision);
    for (const change of feed.value.changes) options.onChange(change);
    if (batchDelayMs > 0 && feed.value.changes.length > 0) await pause(batchDelayMs);
    return true;
  }

  async function run() {
    while (!state.stopped) {
      const due = !state.listed || performance.now() - state.listedAt > refreshMs;
      const call = due ? listOnce() : watchOnce();
      const outcome = await abandonOnRecovery(call, options.reachability, 'given-up' as const);
      if (outcome === 'given-up') {
        current += 1;
        state.listed = false;
      } else if (!outcome) await pause(RETRY_MS);
    }
  }

  void run();
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
