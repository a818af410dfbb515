/**
 * Guards against work for workers whose entry in the store does not allow it.
 */
import { expect } from 'chai';
import { createFleetSessions } from '../../src/controller/fleet-sessions.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import type { FleetWorker } from '../../src/fleet/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerEntry } from './support.js';

const BORN = 1000;

function describeWorker(fields: Partial<FleetWorker> = {}): FleetWorker {
  return createWorkerEntry(BORN, fields);
}

/** A session with a worker that answers everything. */
function openSession(worker: FleetWorker): WorkerSession {
  let current = worker;
  const session = {
    incarnation: worker.incarnation,
    get worker() {
      return current;
    },
    update: (next: FleetWorker) => {
      current = next;
    },
    runs: new Map(),
    reachable: true,
    ended: false,
    setConfirmation: () => undefined,
    end: () => undefined,
    close: () => undefined,
  };
  return session as unknown as WorkerSession;
}

describe('fleet sessions', () => {
  let sessions: FleetSessions;
  let latestOrderAt: number;
  let leaving: string[];

  const bornOfUsable = () => sessions.usable().map(({ incarnation }) => incarnation.born);

  beforeEach(() => {
    latestOrderAt = Infinity;
    leaving = [];
    sessions = createFleetSessions({
      open: openSession,
      events: SILENT_EVENTS,
      onChange: () => undefined,
      onLeaving: ({ incarnation }) => leaving.push(incarnation.id),
      latestOrderAt: () => latestOrderAt,
    });
    sessions.replace(new Map([['w1', describeWorker()]]), new Set());
  });

  afterEach(() => {
    sessions.close();
  });

  describe('an entry that cannot be decoded', () => {
    it('names no worker to use, at once', () => {
      // The worker was given work for another 2.5 s, which is more than the drain time of small sites.
      sessions.markUnreadable('w1');
      expect(bornOfUsable()).to.deep.equal([]);
    });

    it('names no worker to use when it is found in a listing', () => {
      sessions.replace(new Map(), new Set(['w1']));
      expect(bornOfUsable()).to.deep.equal([]);
    });

    it('names no worker to use after it is removed', () => {
      sessions.markUnreadable('w1');
      sessions.update('w1', undefined);
      expect(bornOfUsable()).to.deep.equal([]);
    });

    it('says nothing once the worker has written its entry again', () => {
      sessions.markUnreadable('w1');
      sessions.update('w1', describeWorker());
      expect(bornOfUsable()).to.deep.equal([BORN]);
    });
  });

  describe('an entry of another incarnation of its worker', () => {
    const incarnations = [
      { incarnation: 'later', born: BORN + 1 },
      // Clocks can jump back, so the incarnation that began last need not have the highest time.
      { incarnation: 'with an earlier time', born: BORN - 1 },
    ];
    for (const { incarnation, born } of incarnations) {
      it(`${incarnation} leaves no work to the former incarnation`, () => {
        // The former incarnation kept its last state, so it was given work while its worker was leaving.
        const next = describeWorker({ incarnation: { id: 'w1', born }, state: 'leaving' });
        sessions.update('w1', next);
        expect(bornOfUsable()).to.deep.equal([]);
      });
    }
  });

  describe('an entry that says that its worker is leaving', () => {
    // Guards against a new leader that keeps the runs of a worker which was leaving before its election.
    it('is reported when the worker is listed for the first time', () => {
      const worker = describeWorker({ incarnation: { id: 'w2', born: BORN }, state: 'leaving' });
      sessions.update('w2', worker);
      expect(leaving).to.deep.equal(['w2']);
    });

    it('is reported again with each later entry', () => {
      for (const leavesInMs of [2000, 500]) {
        sessions.update('w1', describeWorker({ state: 'leaving', leavesInMs }));
      }
      expect(leaving).to.deep.equal(['w1', 'w1']);
    });
  });

  describe('an entry that is removed', () => {
    it('leaves its worker usable, because entries can expire while the store is away', () => {
      sessions.update('w1', undefined);
      expect(bornOfUsable()).to.deep.equal([BORN]);
    });

    // After a gap of the view, a worker that had reported its leaving in it passed for one whose entry had expired.
    it('leaves no worker usable whose entry was last read too long ago', () => {
      latestOrderAt = performance.now() - 1;
      sessions.replace(new Map(), new Set());
      expect(bornOfUsable()).to.deep.equal([]);
    });
  });
});
