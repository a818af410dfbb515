/**
 * Interface of the durable key-value store that the platform runs: keys with revisions, conditional
 * transactions, leases and watches. An adapter implements the protocol.
 */
import type { Result } from 'neverthrow';

/** A key and its value, with the revision of its last change. */
export interface StoreEntry {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
}

/** A change of a key; `value` is undefined if the key was removed. */
export interface StoreChange {
  readonly key: string;
  readonly value: string | undefined;
  readonly revision: number;
}

/** A transaction commits only if the key still has this revision; 0 means that the key must not exist. */
export interface Condition {
  readonly key: string;
  readonly revision: number;
}

export interface Write {
  readonly key: string;
  readonly value: string;
  /** Lease that the key is attached to; the key is removed when the lease ends. */
  readonly lease?: number;
}

export interface Transaction {
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  readonly removals?: readonly string[];
}

/** `conflict` carries the present entries of the keys in the conditions, as far as they exist. */
export type TransactionOutcome =
  | { readonly kind: 'committed'; readonly revision: number }
  | { readonly kind: 'conflict'; readonly entries: readonly StoreEntry[] }
  | { readonly kind: 'lease-ended' };

/**
 * `rejected`: the call had no effect. `unknown`: no answer; a write may have taken effect or may still do
 * so. `compacted`: the requested history is no longer kept. `absent`: the lease does not exist.
 */
export interface StoreFailure {
  readonly kind: 'rejected' | 'unknown' | 'compacted' | 'absent';
  readonly detail: string;
}

export interface Listing {
  readonly entries: readonly StoreEntry[];
  /** A watch that starts after this revision misses no change. */
  readonly revision: number;
}

export interface ChangeBatch {
  readonly changes: readonly StoreChange[];
  readonly revision: number;
}

export interface CallOptions {
  /** Timeout in milliseconds; the outcome of a write is unknown after it. */
  readonly timeoutMs?: number;
  /** Calls of high priority do not wait for others of this host; for few and short ones. `normal` by default. */
  readonly priority?: 'normal' | 'high';
}

export interface KeyValueStore {
  get(key: string, options?: CallOptions): Promise<Result<StoreEntry | undefined, StoreFailure>>;
  list(prefix: string, options?: CallOptions): Promise<Result<Listing, StoreFailure>>;
  watch(
    prefix: string,
    after: number,
    waitMs: number,
    options?: CallOptions,
  ): Promise<Result<ChangeBatch, StoreFailure>>;
  transact(
    transaction: Transaction,
    options?: CallOptions,
  ): Promise<Result<TransactionOutcome, StoreFailure>>;
  grantLease(lifetimeMs: number): Promise<Result<number, StoreFailure>>;
  /** Has high priority, because the lease ends meanwhile. */
  renewLease(lease: number, options?: CallOptions): Promise<Result<void, StoreFailure>>;
  endLease(lease: number): Promise<Result<void, StoreFailure>>;
}

/** Maximum number of conditions, writes and removals in one transaction, counted together. */
export const MAX_TRANSACTION_ENTRIES = 32;
