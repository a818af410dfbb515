/**
 * Guards against an accepted job that is denied: its record goes when it ends, and a short job can run between
 * two reads of a slow store.
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
  it('is its end when it ran between the read of its progress and that of its record', async () => {
    const progress: (StoreEntry | undefined)[] = [undefined, ENDED];
    const store = {
      get: () => Promise.resolve(ok(progress.shift())),
      list: () => Promise.resolve(ok({ entries: [], revision: 8 })),
    } as unknown as KeyValueStore;
    const reader = createJobReader({ store, events: SILENT_EVENTS });
    expect((await reader.state('a1'))._unsafeUnwrap()).to.equal('completed');
  });

  it('is that of no job when nothing is stored', async () => {
    const store = {
      get: () => Promise.resolve(ok(undefined)),
      list: () => Promise.resolve(ok({ entries: [], revision: 8 })),
    } as unknown as KeyValueStore;
    const reader = createJobReader({ store, events: SILENT_EVENTS });
    expect((await reader.state('a1'))._unsafeUnwrap()).to.equal(undefined);
  });
});
