/**
 * Guards against calls for evacuations on a deployment that has none, and against orders before a leader has listed them.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { createCellFeed } from '../../src/controller/cell-feed.js';
import type { CellFeedOptions } from '../../src/controller/cell-feed.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import { createReachability, pause } from '../../src/records/index.js';

const PREFIX = 'op/evacuate/';

/** Follows an empty store for a moment; returns what was called and when the evacuations were confirmed. */
async function follow(options: Pick<CellFeedOptions, 'evacuations'>) {
  const called = new Set<string>();
  const store = {
    get: () => Promise.resolve(ok(undefined)),
    list: (prefix: string) => {
      called.add(prefix);
      return Promise.resolve(ok({ entries: [], revision: 1 }));
    },
    watch: async (prefix: string) => {
      called.add(prefix);
      await pause(20);
      return ok({ changes: [], revision: 1 });
    },
  } as unknown as KeyValueStore;
  const ignore = () => undefined;
  const feed = createCellFeed({
    store,
    reachability: createReachability({ events: SILENT_EVENTS }),
    fleetPrefix: 'servers/',
    fleetMaxAgeMs: 2000,
    cancellationsMaxAgeMs: 3000,
    ...options,
    onProgress: ignore,
    onSilentWorkers: ignore,
    onFleet: ignore,
    onFleetChange: ignore,
    onJobs: ignore,
    onJobChange: ignore,
    onCancelledJobs: ignore,
    onCancelledJob: ignore,
    onEvacuations: ignore,
    onEvacuationChange: ignore,
    onRestored: ignore,
    events: SILENT_EVENTS,
  });
  const confirmedAtFirst = feed.evacuationsConfirmedAt;
  await pause(100);
  feed.stop();
  return { called, confirmedAtFirst, confirmedAt: feed.evacuationsConfirmedAt };
}

describe('the view of evacuations', () => {
  it('costs no call without a bound for evacuations', async () => {
    const { called, confirmedAt } = await follow({});
    expect([...called].filter((prefix) => prefix.startsWith('op/'))).to.deep.equal([]);
    expect(confirmedAt).to.equal(-Infinity);
  });

  it('allows no orders before the first listing', async () => {
    const evacuations = { prefix: PREFIX, withinMs: 5000 };
    const { called, confirmedAtFirst, confirmedAt } = await follow({ evacuations });
    expect(called.has(PREFIX)).to.equal(true);
    expect(confirmedAtFirst).to.equal(-Infinity);
    expect(confirmedAt).to.be.greaterThan(0);
  });
});
