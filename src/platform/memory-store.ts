/**
 * An in-memory store with the contract of the platform's service, for tests of modules that store
 * records. It can be made unavailable and can lose the responses to writes that took effect.
 */
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type { Store, StoreError, VersionedValue } from './store.js';

/** `lose-answers` applies writes and reports them as in doubt. */
export type StoreMode = 'up' | 'down' | 'lose-answers';

/** An in-memory store whose failures are controlled by the test. */
export interface MemoryStore extends Store {
  setMode(mode: StoreMode): void;
}

export function createMemoryStore(): MemoryStore {
  const values = new Map<string, VersionedValue>();
  const waiters = new Set<() => void>();
  let mode: StoreMode = 'up';
  let calls = 0;
  let lastVersion = 0;

  function call<T>(operation: () => ResultAsync<T, StoreError>): ResultAsync<T, StoreError> {
    calls += 1;
    if (mode === 'down') return errAsync({ kind: 'unavailable', detail: 'the store is down' });
    return operation();
  }

  function write(key: string, expected: number, value: string | undefined) {
    const version = values.get(key)?.version ?? 0;
    if (version !== expected) {
      const detail = `${key} has version ${String(version)}, not ${String(expected)}`;
      return errAsync<number, StoreError>({ kind: 'conflict', detail });
    }
    lastVersion += 1;
    if (value === undefined) values.delete(key);
    else values.set(key, { value, version: lastVersion });
    for (const wake of [...waiters]) wake();
    if (mode === 'lose-answers') {
      return errAsync<number, StoreError>({ kind: 'in-doubt', detail: 'the response was lost' });
    }
    return okAsync<number, StoreError>(lastVersion);
  }

  async function waitForChange(key: string, sinceVersion: number, signal: AbortSignal) {
    while (!signal.aborted && (values.get(key)?.version ?? 0) === sinceVersion) {
      await new Promise<void>((resolve) => {
        const wake = () => {
          waiters.delete(wake);
          signal.removeEventListener('abort', wake);
          resolve();
        };
        waiters.add(wake);
        signal.addEventListener('abort', wake);
      });
    }
    return signal.aborted ? undefined : values.get(key);
  }

  return {
    get: (key) => call(() => okAsync(values.get(key))),
    list: (prefix) =>
      call(() => okAsync(new Map([...values].filter(([key]) => key.startsWith(prefix))))),
    compareAndSwap: (key, expected, value) => call(() => write(key, expected, value)),
    remove: (key, expected) => call(() => write(key, expected, undefined).map(() => undefined)),
    watch: (key, sinceVersion, signal) =>
      call(() =>
        okAsync<undefined, StoreError>(undefined).map(() =>
          waitForChange(key, sinceVersion, signal),
        ),
      ),
    calls: () => calls,
    setMode: (next) => {
      mode = next;
    },
  };
}
