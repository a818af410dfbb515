/**
 * A store for one client whose calls fail one by one as the test says.
 */
import { errAsync, type ResultAsync } from 'neverthrow';
import type { Store, StoreError } from '../../src/platform/index.js';

/**
 * `down`: the call has no effect. The others concern writes, which are in doubt: `lost` ones take
 * effect, `dropped` ones do not, and `late` ones do, if their version still holds, before the next
 * call.
 */
export type FaultMode = 'up' | 'down' | 'lost' | 'dropped' | 'late';

export const FAULT_MODES: readonly FaultMode[] = ['up', 'down', 'lost', 'dropped', 'late'];

export interface FlakyStore extends Store {
  /** Fates of the next calls. */
  nextFaultModes: FaultMode[];
  /** Fate of the calls after them. */
  faultMode: FaultMode;
}

export function createFlakyStore(store: Store): FlakyStore {
  let late: (() => void)[] = [];

  function inDoubt<T>(): ResultAsync<T, StoreError> {
    return errAsync({ kind: 'in-doubt', detail: 'the answer was lost' });
  }

  function call<T>(isWrite: boolean, act: () => ResultAsync<T, StoreError>) {
    for (const write of late) write();
    late = [];
    const fate = flaky.nextFaultModes.shift() ?? flaky.faultMode;
    if (fate === 'up' || (!isWrite && fate !== 'down')) return act();
    if (fate === 'down') {
      return errAsync<T, StoreError>({ kind: 'unavailable', detail: 'the store is down' });
    }
    if (fate === 'late') late.push(() => void act());
    return fate === 'lost' ? act().andThen(() => inDoubt<T>()) : inDoubt<T>();
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
