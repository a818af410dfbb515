/**
 * Guards against a log that a silent worker fills, and against lines that don't tell which incarnation of a worker they
 * are of.
 */
import { expect } from 'chai';
import { createSessionHarness } from './session-harness.js';
import { eventually } from './support.js';

describe('a stop that is not answered', () => {
  // Guards against five lines a second for each run, for as long as the lease of a silent worker lasts.
  it('is logged once for each kind of outcome, with the incarnation of the worker', async () => {
    const harness = createSessionHarness();
    const run = await harness.startRun();
    await harness.listedBy(run, 1);
    harness.worker.cut = true;
    run.session.stop(run, 'the job was cancelled');
    const { stopsSent } = harness.worker;
    await eventually(() => harness.worker.stopsSent >= stopsSent + 3 || undefined, 'three stops');
    harness.close();
    const lines = harness.warnings.filter(({ event }) => event === 'stop-not-accepted');
    expect(lines.map(({ fields }) => fields.born)).to.deep.equal([1]);
  });
});
