/**
 * What homes and the hosts that keep their copies tell each other about request ids.
 */
import type { Outcome, RefusedOutcome, UnknownOutcome } from '../model/index.js';

/** A request id and what is known of it. */
export interface IdRecord {
  readonly team: string;
  readonly id: string;
  /** Hash of entry and input; the same id with a different digest is refused as `id-conflict`. */
  readonly digest: string;
  /** Absent while the request is in flight. */
  readonly outcome?: Outcome;
}

/** Copies records to a host under the bucket's epoch. */
export interface RememberMessage {
  readonly bucket: number;
  readonly epoch: number;
  readonly records: readonly IdRecord[];
}

/**
 * `fenced`: the bucket has a home with a higher epoch. `not-ready`: the host does not know which
 * epochs are in force, so it keeps no copies for now.
 */
export type RememberReply =
  | { readonly kind: 'remembered' }
  | { readonly kind: 'fenced'; readonly epoch: number }
  | { readonly kind: 'not-ready' };

/** Raises the bucket's epoch on a host and asks for the records that the host has. */
export interface FenceMessage {
  readonly bucket: number;
  readonly epoch: number;
}

/** `epoch` is higher than the message's if a later home has fenced the host already. */
export interface FenceReply {
  readonly epoch: number;
  readonly records: readonly IdRecord[];
  /** The host's last time as home of the bucket; `records` holds every id that it admitted. */
  readonly served?: ServicePeriod;
}

/** A host's time as home of a bucket. */
export interface ServicePeriod {
  readonly epoch: number;
  /** Ids minted up to this time may have run at an earlier home. */
  readonly knownSince: number;
}

/** A request that was admitted before; `outcome` resolves when it ends. */
export interface Repeat {
  readonly kind: 'repeat';
  readonly outcome: Promise<Outcome>;
}

/** `run` is returned at most once per id. */
export type Admission = 'run' | Repeat | RefusedOutcome | UnknownOutcome;
