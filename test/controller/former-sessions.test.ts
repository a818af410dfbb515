/** Guards against sessions with former incarnations of workers that are kept for the rest of the term. */
import { expect } from 'chai';
import { createFleetSessions } from '../../src/controller/fleet-sessions.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import type { EventLog } from '../../src/observability/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerEntry } from './support.js';

const LISTING_MS = 800;

describe('the session of a former incarnation with the later time', () => {
  // Each listing set the time anew from which the session counts as unlisted, and logged the listed incarnation as
  // unlisted.
  it('is removed although its worker is listed again and again', async () => {
    const lines: string[] = [];
    const events: EventLog = { ...SILENT_EVENTS, info: (event) => void lines.push(event) };
    const sessions = createFleetSessions({
      open: (worker) =>
        ({
          incarnation: worker.incarnation,
          worker,
          update: () => undefined,
          runs: new Map(),
          reachable: true,
          ended: false,
          setConfirmation: () => undefined,
          end: () => undefined,
          close: () => undefined,
        }) as unknown as WorkerSession,
      events,
      onChange: () => undefined,
      onLeaving: () => undefined,
    });
    sessions.replace(new Map([['w1', createWorkerEntry(5)]]), new Set());
    for (let listing = 0; listing < 10; listing += 1) {
      sessions.replace(new Map([['w1', createWorkerEntry(1)]]), new Set());
      await new Promise((resolve) => setTimeout(resolve, LISTING_MS));
    }
    const count = [...sessions.all()].length;
    sessions.close();
    expect({
      count,
      unlisted: lines.filter((line) => line === 'worker-unlisted').length,
    }).to.deep.equal({ count: 1, unlisted: 1 });
  });
});
