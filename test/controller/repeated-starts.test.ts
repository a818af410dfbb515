/**
 * Guards against ending a gang because one answer to a start was lost, and against taking a run for one that never
 * ran because the repeated order was refused.
 */
import { expect } from 'chai';
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import { createRun } from '../../src/controller/run.js';
import { createWorkerSession } from '../../src/controller/worker-session.js';
import type { OrderOutcome, StartOrder } from '../../src/fleet/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { createSingleTask, createWorkerEntry } from './support.js';

const UNKNOWN = { kind: 'unknown', detail: 'the connection was reset' } as const;
const ACCEPTED: OrderOutcome = { kind: 'accepted', clockMs: 50 };
const refused = (reason: 'stale-run' | 'no-room' | 'fenced'): OrderOutcome => {
  return { kind: 'refused', reason, clockMs: 50 };
};

/** Starts a run on a worker that gives these answers, one for each start order. */
function startWith(...answers: readonly OrderOutcome[]) {
  return startWithin(() => Infinity, ...answers);
}

/** Starts a run as above, with the time that is left to orders as the number of orders sent so far tells. */
async function startWithin(
  startWindowMs: (sent: number) => number,
  ...answers: readonly OrderOutcome[]
) {
  const orders: StartOrder[] = [];
  const ends: string[] = [];
  const stale: string[] = [];
  const session = createWorkerSession({
    worker: createWorkerEntry(1),
    connect: () => ({
      start: (order) => {
        orders.push(order);
        return Promise.resolve(answers[orders.length - 1] ?? UNKNOWN);
      },
      stop: () => Promise.resolve(ACCEPTED),
      renew: () => Promise.resolve(UNKNOWN),
      close: () => undefined,
    }),
    events: SILENT_EVENTS,
    meters: createMeters(),
    epoch: TOKENS_PER_TERM,
    tokens: createFencingTokens({ epoch: TOKENS_PER_TERM }),
    mayExtendLease: () => true,
    openSuccessor: (former) => former,
    inheritedLeaseUntil: () => 0,
    onEnd: (_session, _run, end) => {
      ends.push(end);
      return Promise.resolve(true);
    },
    onReport: () => undefined,
    onTicketRefused: () => undefined,
    responsiveNow: () => performance.now(),
    startWindowMs: () => startWindowMs(orders.length),
    onStaleEpoch: (worker) => {
      stale.push(worker);
    },
    onChange: () => undefined,
  });
  const { progress, step, task } = createSingleTask(1000);
  const run = createRun({ name: 'job.0.0.0', progress, step, task, session, inherited: false });
  session.attach(run);
  await session.start(run, 'text', 'ticket');
  return { run, orders, ends, stale };
}

describe('start orders', () => {
  it('are repeated once when their answer is lost', async () => {
    const { run, orders, ends } = await startWith(UNKNOWN, ACCEPTED);
    expect(orders).to.have.length(2);
    expect(orders[1]).to.deep.equal(orders[0]);
    expect(run.status).to.equal('running');
    expect(ends).to.deep.equal([]);
  });

  it('are not repeated when the worker has refused them', async () => {
    const { orders, ends } = await startWith(refused('no-room'));
    expect(orders).to.have.length(1);
    expect(ends).to.deep.equal(['never-ran']);
  });

  for (const reason of ['stale-run', 'no-room', 'fenced'] as const) {
    it(`leave the run in doubt when the repeated order is refused as ${reason}`, async () => {
      // The first order may have started the run, which may even have ended by now, or may still arrive.
      const { run, ends, stale } = await startWith(UNKNOWN, refused(reason));
      expect(run.status).to.equal('in-doubt');
      expect(ends).to.deep.equal([]);
      expect(stale).to.deep.equal(reason === 'fenced' ? ['w1'] : []);
    });
  }

  it('are not repeated to a worker that is leaving by then', async () => {
    // The answer can be lost for 0.8 s, so the repeated start reached a worker that had been leaving for long.
    const { run, orders, ends } = await startWithin((sent) => (sent === 0 ? 500 : 0), UNKNOWN);
    expect(orders).to.have.length(1);
    expect(run.status).to.equal('in-doubt');
    expect(ends).to.deep.equal([]);
  });

  it('expire at the worker when what they rest on is outdated', async () => {
    // A start that waits for a connection is carried out when it gets through, unless the worker refuses it as late.
    const { orders } = await startWithin(() => 500, ACCEPTED);
    expect(orders.map(({ startBeforeMs }) => startBeforeMs)).to.deep.equal([500]);
  });

  it('leave the run in doubt when both answers are lost', async () => {
    const { run, orders, ends } = await startWith(UNKNOWN, UNKNOWN);
    expect(orders).to.have.length(2);
    expect(run.status).to.equal('in-doubt');
    expect(ends).to.deep.equal([]);
  });
});
