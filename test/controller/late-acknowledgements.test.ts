/**
 * Guards against ends of a new incarnation of a worker that nobody has read, because an acknowledgement for the ends of
 * its former incarnation was carried out there late (TWICE: the task is started again).
 */
import { expect } from 'chai';
import { createSessionHarness } from './session-harness.js';
import type { SessionHarness } from './session-harness.js';
import { eventually, pause } from './support.js';

/** Time until a call is given up; the worker counts as reachable until then. */
const CALL_TIMEOUT_MS = 600;
/** The next renewal acknowledges an end that is durable. */
const NEXT_RENEWAL_MS = 200;

describe('a renewal that acknowledges ends of a former incarnation', () => {
  let harness: SessionHarness;

  beforeEach(() => {
    harness = createSessionHarness({
      clockMs: 20_000,
      leaseMs: 8000,
      maxLeaseMs: 4000,
      startWindowMs: 300,
      lateOrderMs: 1500,
    });
  });

  afterEach(() => {
    harness.close();
  });

  // The new incarnation numbers its ends anew and cannot tell whose acknowledgement it is.
  it('does not make the leader lose an end of the new one', async () => {
    const { worker } = harness;
    await harness.usableSession();
    const first = await harness.startRun(0);
    await eventually(() => first.listed || undefined, 'a report that lists the run');
    const second = await harness.createRun({ index: 1 });
    worker.end(first.name, 'done');
    await harness.endOf(first);
    worker.holdRenewals = true;
    worker.startTimeoutMs = CALL_TIMEOUT_MS;
    await pause(NEXT_RENEWAL_MS);
    worker.restart();
    await second.session.start(second, 'text', undefined);
    worker.end(second.name, 'done');
    worker.deliverHeld();
    worker.holdRenewals = false;
    expect((await harness.endOf(second)).end).to.equal('done');
  });
});
