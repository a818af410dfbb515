/**
 * Messages about request ids between homes and the hosts that keep their copies.
 */
import type { Outcome, RefusedOutcome, UnknownOutcome } from '../model/index.js';

/** A request id with the digest of its request and its outcome. */
export interface IdRecord {
  readonly team: string;
  readonly id: string;
  /** Hash of catalogue entry and input; an id that is reused with another digest is an `id-conflict`. */
  readonly digest: string;
  /** Absent while the request is in flight. */
  readonly outcome?: Outcome;
}

/** Sends copies of records to a host under the bucket's epoch. */
export interface RememberMessage {
  readonly bucket: number;
  readonly epoch: number;
  readonly records: readonly IdRecord[];
}

/**
 * `fenced`: the bucket has a home with a higher epoch. `not-ready`: the host does not know which
 * epochs are in force, so it stores no copies at present.
 */
export type RememberReply =
  | { readonly kind: 'remembered' }
  | { readonly kind: 'fenced'; readonly epoch: number }
  | { readonly kind: 'not-ready' };

/** Raises the bucket's epoch on a host and requests the records of that host. */
export interface FenceMessage {
  readonly bucket: number;
  readonly epoch: number;
}

/** `epoch` is higher than that of the message if a later home has already fenced the host. */
export interface FenceReply {
  readonly epoch: number;
  readonly records: readonly IdRecord[];
  /** The host's last period as home of the bucket; `records` holds every id that it admitted. */
  readonly served?: ServicePeriod;
}

/** A period in which a host was the home of a bucket. */
export interface ServicePeriod {
  readonly epoch: number;
  /** Ids that were generated up to this time may have run at an earlier home. */
  readonly knownSince: number;
}

/** A request that was admitted before; `outcome` resolves when it ends. */
export interface Repeat {
  readonly kind: 'repeat';
  readonly outcome: Promise<Outcome>;
}

/** `run` is returned at most once per id. */
export type Admission = 'run' | Repeat | RefusedOutcome | UnknownOutcome;
