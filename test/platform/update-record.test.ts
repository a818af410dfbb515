import { expect } from 'chai';
import { createMemoryStore, updateRecord, type Store } from '../../src/platform/index.js';

const parse = (data: unknown) => data as number;

describe('updateRecord', () => {
  it('applies a change once when the response to its write was lost', async () => {
    const store = createMemoryStore();
    store.setMode('lose-answers');
    const change = (current = 0) => current + 1;
    const result = await updateRecord(store, { key: 'k', parse, change });
    expect(result._unsafeUnwrap()).to.equal(1);
    store.setMode('up');
    const read = await updateRecord(store, { key: 'k', parse, change: () => undefined });
    expect(read._unsafeUnwrap()).to.equal(1);
  });

  it('applies the changes of all concurrent writers', async () => {
    const store = createMemoryStore();
    const increment = () =>
      updateRecord(store, { key: 'k', parse, change: (current = 0) => current + 1 });
    await Promise.all([increment(), increment(), increment()]);
    expect((await increment())._unsafeUnwrap()).to.equal(4);
  });

  it('reports in doubt if the store becomes unavailable after a write whose response was lost', async () => {
    const store = createMemoryStore();
    store.setMode('lose-answers');
    // The read-back finds nothing, and then the store is unavailable.
    const get: Store['get'] = (key) => {
      const found = store.get(key);
      return store.calls() > 1
        ? found.map(() => {
            store.setMode('down');
            return undefined;
          })
        : found;
    };
    const result = await updateRecord({ ...store, get }, { key: 'k', parse, change: () => 1 });
    expect(result._unsafeUnwrapErr().kind).to.equal('in-doubt');
  });

  it('reports an outage instead of retrying forever', async () => {
    const store: Store & { setMode: (mode: 'down') => void } = createMemoryStore();
    store.setMode('down');
    const result = await updateRecord(store, { key: 'k', parse, change: () => 1 });
    expect(result._unsafeUnwrapErr().kind).to.equal('unavailable');
  });
});
