/**
 * Guards against ends that only a former leader can read and that nobody makes durable, and against what a former leader
 * could do wrong while it still calls workers.
 */
import { expect } from 'chai';
import type { RunEnd } from '../../src/jobs/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createSessionHarness } from './session-harness.js';
import type { SessionHarness } from './session-harness.js';
import { eventually, expectDefined } from './support.js';
import type { WorkerFake } from './worker-fake.js';

/** Some renewals. */
const HOLD_MS = 400;
/** Above the epoch of the harness. */
const NEXT_EPOCH = 4 * TOKENS_PER_TERM;

describe('ends at a change of the leader', () => {
  let harness: SessionHarness;
  let worker: WorkerFake;

  beforeEach(() => {
    harness = createSessionHarness();
    worker = harness.worker;
    harness.storesEnds = false;
    harness.list();
  });

  afterEach(() => {
    harness.close();
  });

  describe('a former leader that observes its runs', () => {
    async function observeRun() {
      const run = await harness.startRun();
      await eventually(() => run.status === 'running' || undefined, 'the run');
      run.session.observe();
      return run;
    }

    it('reads the end of a run and acknowledges nothing', async () => {
      const run = await observeRun();
      worker.end(run.name, 'done');
      expect((await harness.endOf(run)).end).to.equal('done');
      await wait(HOLD_MS);
      expect(worker.acknowledgedThrough).to.equal(0);
    });

    // A run that is no longer known here may be one of the successor.
    it('sends no orders', async () => {
      const run = await observeRun();
      run.session.stop(run, 'a stop that comes too late');
      await startAtWorker('other.0.0.0', 1);
      await wait(HOLD_MS);
      expect(worker.stopsSent).to.equal(0);
    });

    it('leaves a worker that has seen the successor', async () => {
      await observeRun();
      const renewal = { acknowledgedThrough: 0, leaseUntilMs: undefined, waitMs: 0 };
      await worker.connection.renew({ ...renewal, fencingToken: NEXT_EPOCH });
      await eventually(() => !worker.waiting || undefined, 'the end of the renewal that waits');
      await wait(HOLD_MS);
      const before = worker.renewals;
      await wait(HOLD_MS);
      expect(worker.renewals).to.equal(before);
    });

    it('leaves a worker on which it has no runs left', async () => {
      const run = await observeRun();
      worker.end(run.name, 'done');
      await harness.endOf(run);
      await wait(HOLD_MS);
      const before = worker.renewals;
      await wait(HOLD_MS);
      expect(worker.renewals).to.equal(before);
    });
  });

  describe('an end that a former leader reports', () => {
    const report = (task: string, run: number, born: number, end: RunEnd = 'done') => {
      const incarnation = { id: 'w1', born };
      const reported = { worker: incarnation, task, run, end, checkpoint: '' };
      harness.sessions.find(incarnation)?.applyReported(reported);
    };

    async function inheritRun() {
      await startAtWorker('job.0.0.0', 1);
      const run = await harness.createRun({ inherited: true });
      worker.cut = true;
      return run;
    }

    it('ends the run although its worker does not answer the successor', async () => {
      const run = await inheritRun();
      report(run.name, run.number, 1);
      expect((await harness.endOf(run)).end).to.equal('done');
      report(run.name, run.number, 1);
      expect(harness.ends).to.have.length(1);
    });

    for (const [what, number, born] of [
      ['another run', 2, 1],
      ['another incarnation', 1, 2],
    ] as const) {
      it(`of ${what} changes nothing`, async () => {
        const run = await inheritRun();
        report(run.name, number, born);
        expect(harness.ends).to.deep.equal([]);
      });
    }

    // The worker could drop the end, and a successor that found no record of it would start the task again.
    it('is acknowledged at the worker only once it is durable', async () => {
      const run = await inheritRun();
      report(run.name, run.number, 1);
      expect(
        expectDefined(harness.sessions.find({ id: 'w1', born: 1 })).hasUnacknowledged,
      ).to.equal(true);
      worker.cut = false;
      worker.end(run.name, 'done');
      const before = worker.renewals;
      await eventually(() => worker.renewals > before + 2 || undefined, 'reports of the end');
      expect(worker.acknowledgedThrough).to.equal(0);
    });
  });

  async function startAtWorker(task: string, run: number) {
    const order = { spec: 'text', startBeforeMs: 10_000, checkpoint: '', ticket: undefined };
    await worker.connection.start({ ...order, task, run, fencingToken: 0 });
  }
});

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
