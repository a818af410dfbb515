/**
 * Guards against a worker that passes for cold as long as its entry is listed, although the entry is not written again.
 */
import { expect } from 'chai';
import { createFleetEntries } from '../../src/controller/fleet-entries.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import type { FleetWorker } from '../../src/fleet/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerEntry } from './support.js';

describe('the entry of a cold worker', () => {
  let time = 0;
  let seen: FleetWorker | undefined;
  const sessions = {
    replace: (workers: ReadonlyMap<string, FleetWorker>) => {
      seen = workers.get('w1');
    },
    update: (_id: string, worker: FleetWorker | undefined) => {
      seen = worker;
    },
  } as unknown as FleetSessions;

  it('counts from when it was first read, until it is written again', () => {
    const entries = createFleetEntries({
      fleet: {
        prefix: 'servers/',
        decode: (_key, text) => createWorkerEntry(1, { coldRemainingMs: Number(text) }),
      },
      sessions,
      events: SILENT_EVENTS,
      meters: createMeters(),
      now: () => time,
    });
    const entry = { key: 'servers/w1', value: '3000', revision: 5 };
    entries.applyChange(entry);
    expect(seen?.coldUntil).to.equal(3000);
    time = 2000;
    entries.applyListing([entry]);
    expect(seen?.coldUntil).to.equal(3000);
    entries.applyListing([{ ...entry, value: '4000', revision: 6 }]);
    expect(seen?.coldUntil).to.equal(6000);
    entries.applyChange({ ...entry, value: '0', revision: 7 });
    expect(seen?.coldUntil).to.equal(undefined);
    expect(seen?.revision).to.equal(7);
  });
});
