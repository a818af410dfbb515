/**
 * Read-modify-write of JSON records. Every write has a unique id in its envelope, so that a write
 * whose response was lost can be read back and distinguished from a concurrent one.
 */
import { randomUUID } from 'node:crypto';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { Store, StoreError, VersionedValue } from './store.js';

const DEFAULT_ATTEMPTS = 5;

/** How one record is read and changed. */
export interface RecordUpdate<T> {
  readonly key: string;
  /** Validates the decoded JSON value; throws if it is not a record of this kind. */
  readonly parse: (data: unknown) => T;
  /** Returns the new record, or undefined to leave it as it is. May be called several times. */
  readonly change: (current: T | undefined) => T | undefined;
  /** Maximum number of attempts. A conflict with a concurrent writer causes another one. */
  readonly maxAttempts?: number;
}

interface Envelope {
  readonly writeId: string;
  readonly data: unknown;
}

/** Encodes a record for the store, with the id of its write. */
export function encodeRecord(data: unknown, writeId: string = randomUUID()): string {
  return JSON.stringify({ writeId, data } satisfies Envelope);
}

/** Decodes a record from the store. */
export function decodeRecord<T>(text: string, parse: (data: unknown) => T): T {
  return parse((JSON.parse(text) as Envelope).data);
}

/**
 * Changes a record by compare-and-swap and returns the record in force afterwards. Fails with
 * `in-doubt` only if the write could not be read back either.
 */
export function updateRecord<T>(
  store: Store,
  update: RecordUpdate<T>,
): ResultAsync<T | undefined, StoreError> {
  return attemptUpdate(store, update, update.maxAttempts ?? DEFAULT_ATTEMPTS);
}

function attemptUpdate<T>(
  store: Store,
  update: RecordUpdate<T>,
  attemptsLeft: number,
): ResultAsync<T | undefined, StoreError> {
  return store.get(update.key).andThen((found) => {
    const current = found && decodeRecord(found.value, update.parse);
    const next = update.change(current);
    if (next === undefined) return okAsync<T | undefined, StoreError>(current);
    const writeId = randomUUID();
    return store
      .compareAndSwap(update.key, found?.version ?? 0, encodeRecord(next, writeId))
      .map((): T | undefined => next)
      .orElse((error) => {
        if (error.kind === 'unavailable') return errAsync(error);
        return resolveFailedWrite(store, update, { error, writeId, next, attemptsLeft });
      });
  });
}

interface FailedWrite<T> {
  readonly error: StoreError;
  readonly writeId: string;
  readonly next: T;
  readonly attemptsLeft: number;
}

function resolveFailedWrite<T>(
  store: Store,
  update: RecordUpdate<T>,
  failedWrite: FailedWrite<T>,
): ResultAsync<T | undefined, StoreError> {
  const { error, writeId, next, attemptsLeft } = failedWrite;
  const retry = (): ResultAsync<T | undefined, StoreError> =>
    attemptsLeft > 1 ? attemptUpdate(store, update, attemptsLeft - 1) : errAsync(error);
  if (error.kind === 'conflict') return retry();
  // Once a write is in doubt, no later failure proves that it had no effect.
  return store
    .get(update.key)
    .andThen((found) => (isOwnWrite(found, writeId) ? okAsync(next) : retry()))
    .mapErr((): StoreError => error);
}

function isOwnWrite(found: VersionedValue | undefined, writeId: string): boolean {
  return found !== undefined && (JSON.parse(found.value) as Envelope).writeId === writeId;
}
