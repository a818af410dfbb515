/**
 * Interfaces of the platform's key-value service and host list. Only the adapters that implement
 * them depend on the platform's protocols.
 */
import type { ResultAsync } from 'neverthrow';
import type { Fleet } from '../model/index.js';

/** A value and its version. The versions of a key only increase; 0 stands for an absent key. */
export interface VersionedValue {
  readonly value: string;
  readonly version: number;
}

/** Why a call failed. A write `in-doubt` may have taken effect; the other kinds certainly did not. */
export interface StoreError {
  readonly kind: 'conflict' | 'unavailable' | 'in-doubt';
  readonly detail: string;
}

/** The platform's key-value service. */
export interface Store {
  get(key: string): ResultAsync<VersionedValue | undefined, StoreError>;
  list(prefix: string): ResultAsync<ReadonlyMap<string, VersionedValue>, StoreError>;
  /** Writes if the key has `expectedVersion` (0: absent) and returns the new version. */
  compareAndSwap(
    key: string,
    expectedVersion: number,
    value: string,
  ): ResultAsync<number, StoreError>;
  remove(key: string, expectedVersion: number): ResultAsync<void, StoreError>;
  /**
   * Waits for a version other than `sinceVersion`. Resolves with undefined if there was none within
   * the service's longest wait or if the signal was aborted.
   */
  watch(
    key: string,
    sinceVersion: number,
    signal: AbortSignal,
  ): ResultAsync<VersionedValue | undefined, StoreError>;
  /** Number of calls so far. The platform charges for each one, including a pending watch. */
  calls(): number;
}

/** The platform's list of hosts, which lags behind by seconds. */
export interface HostList {
  fetch(): ResultAsync<Fleet, StoreError>;
}
