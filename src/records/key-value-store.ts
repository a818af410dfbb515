/**
 * The durable store that the platform runs, as the product sees it: keys with revisions, transactions
 * under conditions, leases and change feeds. An adapter implements this port; nothing here speaks a
 * protocol.
 */
import type { Result } from 'neverthrow';

/** A stored value with the revision of its last change. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** One change of a key; `value` is undefined for a removal. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A transaction happens only if the key still has this revision; 0 means that it must not exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}

export interface Write {
  readonly key: string;
  readonly value: string;
  /** Removes the key when the lease ends. */
  readonly lease?: number;
}

export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  readonly removals?: readonly string[];
}

/** `conflict` carries the conditioned keys that exist, as they are now. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly entries: readonly StoreEntry[] }
  | { readonly kind: 'lease-ended' };

/**
 * `rejected`: certainly without effect. `unknown`: no answer, a write may have happened or may still
 * happen. `compacted`: the requested history is gone. `absent`: no such lease.
 */
export interface StoreFailure {
  readonly kind: 'rejected' | 'unknown' | 'compacted' | 'absent';
  readonly detail: string;
}

export interface Listing {
  readonly entries: readonly StoreEntry[];
  /** Watching after this revision misses no change to what was listed. */
  readonly revision: number;
}

export interface ChangeBatch {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

export interface CallOptions {
  /** Gives up after this many milliseconds; the outcome of a write is then unknown. */
  readonly timeoutMs?: number;
}

export interface KeyValueStore {
  get(key: string, options?: CallOptions): Promise<Result<StoreEntry | undefined, StoreFailure>>;
  list(prefix: string, options?: CallOptions): Promise<Result<Listing, StoreFailure>>;
  watch(prefix: string, after: number, waitMs: number): Promise<Result<ChangeBatch, StoreFailure>>;
  transact(
    transaction: Transaction,
    options?: CallOptions,
  ): Promise<Result<TransactionOutcome, StoreFailure>>;
  grantLease(lifetimeMs: number): Promise<Result<number, StoreFailure>>;
  renewLease(lease: number, options?: CallOptions): Promise<Result<void, StoreFailure>>;
  endLease(lease: number): Promise<Result<void, StoreFailure>>;
}

/** Entries of conditions, writes and removals that one transaction may hold together. */
export const MAX_TRANSACTION_ENTRIES = 32;
