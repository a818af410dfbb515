/**
 * Guards against reporting that an accepted job does not exist: its record is removed when it ends, and a short
 * job can run between the two reads of a slow store.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { createJobReader } from '../../src/intake/job-reader.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { StoreEntry, KeyValueStore } from '../../src/records/index.js';

const ENDED: StoreEntry = {
  key: 'progress/a1',
  value: JSON.stringify({ state: 'completed', begun: true, next: 1, steps: [] }),
  revision: 7,
};

describe('the state of a job', () => {
  it('is final if the job ran between the read of its progress and that of its record', async () => {
    const progress: (StoreEntry | undefined)[] = [undefined, ENDED];
    const store = {
      get: () => Promise.resolve(ok(progress.shift())),
      list: () => Promise.resolve(ok({ entries: [], revision: 8 })),
    } as unknown as KeyValueStore;
    const reader = createJobReader({ store, events: SILENT_EVENTS });
    expect((await reader.state('a1'))._unsafeUnwrap()).to.equal('completed');
  });

  it('is undefined if nothing is stored', async () => {
    const store = {
      get: () => Promise.resolve(ok(undefined)),
      list: () => Promise.resolve(ok({ entries: [], revision: 8 })),
    } as unknown as KeyValueStore;
    const reader = createJobReader({ store, events: SILENT_EVENTS });
    expect((await reader.state('a1'))._unsafeUnwrap()).to.equal(undefined);
  });
});

describe('the backlog of a queue', () => {
  const readerOf = (value: string | undefined) => {
    const entry = value === undefined ? undefined : { key: 'backlog', value, revision: 7 };
    const store = { get: () => Promise.resolve(ok(entry)) } as unknown as KeyValueStore;
    return createJobReader({ store, events: SILENT_EVENTS });
  };

  it('is read from the record, and zero without one', async () => {
    expect((await readerOf('{"lookup":3}').pending('lookup'))._unsafeUnwrap()).to.equal(3);
    expect((await readerOf(undefined).pending('lookup'))._unsafeUnwrap()).to.equal(0);
  });

  it('is unavailable, not an exception, while its record cannot be read', async () => {
    for (const value of ['{', '[3]', '{"lookup":"many"}', 'null']) {
      expect((await readerOf(value).pending('lookup')).isErr()).to.equal(true);
    }
  });
});
