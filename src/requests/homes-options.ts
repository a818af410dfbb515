/**
 * Options of `createHomes`: limits, and what a home asks of peers, of the store and of the claims.
 */
import type { FenceMessage, FenceReply, RememberMessage, RememberReply } from './id-record.js';

export interface RequestIdHomesOptions {
  readonly host: string;
  readonly now: () => number;
  readonly maxIdAgeMs: number;
  /** How far a clock that mints ids may be ahead of the clock of any host. */
  readonly maxClockSkewMs: number;
  /** Hosts of this data centre that are live, without this one, best copy host first. */
  readonly copyHosts: (bucket: number) => readonly string[];
  /** Sends to a copy host; undefined if it did not answer. */
  readonly sendRemember: (
    host: string,
    message: RememberMessage,
  ) => Promise<RememberReply | undefined>;
  readonly sendFence: (host: string, message: FenceMessage) => Promise<FenceReply | undefined>;
  /** Create-if-absent record in the store, for a home without any second host. */
  readonly createRecord: (
    team: string,
    id: string,
  ) => Promise<'created' | 'exists' | 'unavailable'>;
  /**
   * Reads the claims from the store and compares the bucket's owner and epoch with this host's. A
   * home that resumes from a pause sees no live host at first; without this check it would admit ids
   * by records in the store that its successor does not look at.
   */
  readonly confirmOwner: (
    bucket: number,
    epoch: number,
  ) => Promise<'owner' | 'fenced' | 'unavailable'>;
  /**
   * Epoch of the bucket's claim as last read, 0 if it has none. Undefined after a start, and after a
   * silence so long that peers may have suspected this host, until it has heard its peers (or waited
   * for the suspicion timeout) and read the claims again: a later home may have fenced all hosts but
   * this one, so it keeps no copies and takes no bucket over.
   */
  readonly epochOf: (bucket: number) => number | undefined;
  /** Whether the data centre has no other host, live or not, that could have taken buckets over. */
  readonly isOnlyHost: () => boolean;
  /** How long outcomes wait to be copied together. */
  readonly copyBatchDelayMs?: number;
}
