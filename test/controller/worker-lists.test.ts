/**
 * Guards against taking a run for one that never ran or was lost because a report does not list it, although the worker
 * has run it.
 */
import { expect } from 'chai';
import { createSessionHarness } from './session-harness.js';
import type { SessionHarness } from './session-harness.js';
import { eventually, expectDefined } from './support.js';

/** A worker returns so many ends in one answer. */
const MAX_LISTED_ENDS = 500;

describe('the lists of a worker', () => {
  let harness: SessionHarness;

  beforeEach(() => {
    harness = createSessionHarness();
  });

  afterEach(() => {
    harness.close();
  });

  describe('with more ends than one answer returns', () => {
    async function endRuns() {
      harness.storesEnds = false;
      const count = MAX_LISTED_ENDS + 1;
      const runs = await Promise.all(
        Array.from({ length: count }, (_, index) => harness.startRun(index)),
      );
      await eventually(
        () => runs.every(({ status }) => status === 'running') || undefined,
        'the starts',
      );
      for (const { name } of runs) harness.worker.end(name, 'done');
      await eventually(() => harness.ends.length >= MAX_LISTED_ENDS || undefined, 'the ends');
      return runs;
    }

    // Guards against starting work again whose end is not among the first that the worker returns.
    it('do not make a run lost whose end is in neither list', async () => {
      await endRuns();
      const { renewals } = harness.worker;
      await eventually(() => harness.worker.renewals > renewals + 3 || undefined, 'renewals');
      expect(harness.ends.filter(({ end }) => end !== 'done')).to.have.length(0);
      expect(harness.ends).to.have.length(MAX_LISTED_ENDS);
    });

    // Guards against the same for a run that is being stopped, and for one that a previous leader ordered.
    it('do not show that a run in doubt never ran', async () => {
      const last = expectDefined((await endRuns()).at(-1));
      last.session.stop(last, 'the job was cancelled');
      await eventually(() => last.stopAnsweredAt, 'the answer to the stop');
      const { renewals } = harness.worker;
      await eventually(() => harness.worker.renewals > renewals + 3 || undefined, 'renewals');
      expect(harness.ends.map(({ end }) => end)).to.not.include('never-ran');
    });
  });
});
