/**
 * A store for one client whose test sets the fault mode of each call.
 */
import { errAsync, type ResultAsync } from 'neverthrow';
import type { Store, StoreError } from '../../src/platform/index.js';

/**
 * `down` calls have no effect. The last three modes leave writes in doubt: `lost` writes take
 * effect, `dropped` ones do not, and `late` ones do before the next call, if their version is still
 * current.
 */
export type FaultMode = 'up' | 'down' | 'lost' | 'dropped' | 'late';

export const FAULT_MODES: readonly FaultMode[] = ['up', 'down', 'lost', 'dropped', 'late'];

export interface FlakyStore extends Store {
  /** Modes of the next calls, in order. */
  nextFaultModes: FaultMode[];
  /** Mode of all calls after those of `nextFaultModes`. */
  faultMode: FaultMode;
}

export function createFlakyStore(store: Store): FlakyStore {
  let delayedWrites: (() => void)[] = [];

  function inDoubt<T>(): ResultAsync<T, StoreError> {
    return errAsync({ kind: 'in-doubt', detail: 'the response was lost' });
  }

  function call<T>(isWrite: boolean, act: () => ResultAsync<T, StoreError>) {
    for (const write of delayedWrites) write();
    delayedWrites = [];
    const mode = flaky.nextFaultModes.shift() ?? flaky.faultMode;
    if (mode === 'up' || (!isWrite && mode !== 'down')) return act();
    if (mode === 'down') {
      return errAsync<T, StoreError>({ kind: 'unavailable', detail: 'the store is down' });
    }
    if (mode === 'late') delayedWrites.push(() => void act());
    return mode === 'lost' ? act().andThen(() => inDoubt<T>()) : inDoubt<T>();
  }

  const flaky: FlakyStore = {
    nextFaultModes: [],
    faultMode: 'up',
    get: (key) => call(false, () => store.get(key)),
    list: (prefix) => call(false, () => store.list(prefix)),
    compareAndSwap: (key, version, value) =>
      call(true, () => store.compareAndSwap(key, version, value)),
    remove: (key, version) => call(true, () => store.remove(key, version)),
    watch: (key, version, signal) => call(false, () => store.watch(key, version, signal)),
    calls: () => store.calls(),
  };
  return flaky;
}
