/** Guards against a host that keeps a configuration for good because one version could not be adopted. */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { createConfigurationFeed } from '../../src/intake/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { CellConfiguration } from '../../src/queues/index.js';
import { createConfigurationHolder } from '../../src/queues/index.js';
import { createReachability, pause } from '../../src/records/index.js';
import type { KeyValueStore, StoreEntry } from '../../src/records/index.js';
import { eventually } from '../platform-path/support.js';

const KEY = 'op/config';

/** A store that holds one entry, and whose watches return nothing. */
function createStore() {
  const state = { entry: { key: KEY, value: '0', revision: 1 } satisfies StoreEntry };
  const store = {
    get: () => Promise.resolve(ok(state.entry)),
    list: () => Promise.resolve(ok({ entries: [state.entry], revision: state.entry.revision })),
    watch: async () => {
      await pause(20);
      return ok({ changes: [], revision: state.entry.revision });
    },
  } as unknown as KeyValueStore;
  return { store, state };
}

describe('createConfigurationFeed', () => {
  it('logs once that a version cannot be read', async () => {
    const { store } = createStore();
    const logged: string[] = [];
    const feed = createConfigurationFeed({
      store,
      key: KEY,
      decode: () => undefined,
      holder: createConfigurationHolder({ events: SILENT_EVENTS }),
      reachability: createReachability({ events: SILENT_EVENTS }),
      events: {
        ...SILENT_EVENTS,
        error: (event) => {
          logged.push(event);
        },
      },
    });
    // Time for several polls.
    await pause(1800);
    feed.stop();
    expect(logged).to.deep.equal(['configuration-unreadable']);
  });

  it('adopts a later version after one whose decoder fails', async () => {
    const { store, state } = createStore();
    const holder = createConfigurationHolder({ events: SILENT_EVENTS });
    let failures = 0;
    const feed = createConfigurationFeed({
      store,
      key: KEY,
      decode: (text) => {
        if (text === 'odd') {
          failures += 1;
          throw new Error('unreadable');
        }
        return { version: Number(text), queues: [], teams: [] } as unknown as CellConfiguration;
      },
      holder,
      reachability: createReachability({ events: SILENT_EVENTS }),
      events: SILENT_EVENTS,
    });
    await eventually(() => (holder.current === undefined ? undefined : true));
    // The first reads are not awaited; an error in a later one ended the polls.
    await pause(700);
    state.entry = { key: KEY, value: 'odd', revision: 2 };
    await eventually(() => (failures > 0 ? true : undefined));
    state.entry = { key: KEY, value: '2', revision: 3 };
    const writtenAt = performance.now();
    await eventually(() => (holder.current?.configuration.version === 2 ? true : undefined));
    feed.stop();
    // The polls have to go on; the follower lists only every 15 s.
    expect(performance.now() - writtenAt).to.be.lessThan(2000);
  });

  // Guards against a read that the host cannot decode and takes for a confirmation of what it had before.
  it('confirms no configuration while a later version cannot be read', async () => {
    const { store, state } = createStore();
    const feed = createConfigurationFeed({
      store,
      key: KEY,
      decode: (text) =>
        text === 'odd'
          ? undefined
          : ({ version: Number(text), queues: [], teams: [] } as unknown as CellConfiguration),
      holder: createConfigurationHolder({ events: SILENT_EVENTS }),
      reachability: createReachability({ events: SILENT_EVENTS }),
      events: SILENT_EVENTS,
    });
    await feed.refresh();
    expect(feed.confirmedAt).to.be.greaterThan(0);
    state.entry = { key: KEY, value: 'odd', revision: 2 };
    await feed.refresh();
    expect(feed.confirmedAt).to.equal(-Infinity);
    expect(feed.isStoreLost).to.equal(false);
    state.entry = { key: KEY, value: '3', revision: 3 };
    await feed.refresh();
    feed.stop();
    expect(feed.confirmedAt).to.be.greaterThan(0);
  });

  // Guards against a leader that answers by an older configuration than that of a job whose tasks it has started.
  it('confirms no configuration that is older than one that is known to exist, and reads that one', async () => {
    const { store, state } = createStore();
    const holder = createConfigurationHolder({ events: SILENT_EVENTS });
    const feed = createConfigurationFeed({
      store,
      key: KEY,
      decode: (text) =>
        ({ version: Number(text), queues: [], teams: [] }) as unknown as CellConfiguration,
      holder,
      reachability: createReachability({ events: SILENT_EVENTS }),
      events: SILENT_EVENTS,
    });
    await feed.refresh();
    state.entry = { key: KEY, value: '2', revision: 2 };
    feed.noteRevision(2);
    expect(feed.confirmedAt).to.equal(-Infinity);
    await feed.refresh();
    feed.stop();
    expect(holder.current?.configuration.version).to.equal(2);
    expect(feed.confirmedAt).to.be.greaterThan(0);
  });
});
