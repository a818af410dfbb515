/**
 * Options of `createRequestIdHomes`: limits, and access to peers, the store and the claims.
 */
import type { FenceMessage, FenceReply, RememberMessage, RememberReply } from './id-record.js';

export interface RequestIdHomesOptions {
  readonly host: string;
  readonly now: () => number;
  readonly maxIdAgeMs: number;
  /** Maximum lead of a clock that generates ids over the clock of any host. */
  readonly maxClockSkewMs: number;
  /** Other live hosts of this data centre, in order of preference as copy hosts. */
  readonly copyHosts: (bucket: number) => readonly string[];
  /** Sends copies to a host; undefined if it did not answer. */
  readonly sendRemember: (
    host: string,
    message: RememberMessage,
  ) => Promise<RememberReply | undefined>;
  readonly sendFence: (host: string, message: FenceMessage) => Promise<FenceReply | undefined>;
  /** Creates a record in the store unless it exists; for a home without a live copy host. */
  readonly createRecord: (
    team: string,
    id: string,
  ) => Promise<'created' | 'exists' | 'unavailable'>;
  /**
   * Reads the claims from the store and checks that this host owns the bucket under this epoch. A home
   * that resumes from a pause sees no live host at first; without this check it would admit ids by
   * records in the store that its successor does not read.
   */
  readonly confirmOwner: (
    bucket: number,
    epoch: number,
  ) => Promise<'owner' | 'fenced' | 'unavailable'>;
  /**
   * Epoch of the bucket's claim as last read; 0 if there is no claim. Undefined after a start, and after
   * a time without contact so long that peers may have suspected this host, until it has received
   * messages of its peers (or waited for the suspicion timeout) and read the claims again. Meanwhile a
   * later home may have fenced all hosts but this one, so it stores no copies and takes over no bucket.
   */
  readonly epochOf: (bucket: number) => number | undefined;
  /** Whether the data centre has no other host, live or not, that could have taken over buckets. */
  readonly isOnlyHost: () => boolean;
  /** How long outcomes are collected before they are copied in one batch. */
  readonly copyBatchDelayMs?: number;
}
