/**
 * Guards against starts of tasks whose job's cancellation was acknowledged longer ago than the platform allows,
 * whatever the leader has heard of it.
 */
import { expect } from 'chai';
import { pause } from '../../src/records/index.js';
import { eventually, expectDefined, startsOf, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

/** Time from an acknowledged cancellation until no task of the job may be started, the default of a host. */
const CANCEL_MS = 3000;
const ALL_PROCESSORS = 4000;

describe('a cancelled job', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 1, workers: 0 });
    await cell.addWorker({ workMs: Number });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  it('is not started late while the store answers nothing about jobs', async () => {
    // A watch and listings without a response hid the cancellation, and the job started when its turn came.
    const host = expectDefined(cell.hosts[0]);
    const worker = expectDefined(cell.workers[0]);
    const steps = [{ cpu: ALL_PROCESSORS }];
    await submit(host, { steps, spec: String(CANCEL_MS + 1000) });
    await eventually(() => (worker.running.size > 0 ? true : undefined));
    const { id } = await submit(host, { steps, spec: '50' });
    cell.store.silentPrefix = 'jobs/';
    expect(await host.service.cancel(id, performance.now() + 1000)).to.equal('cancelled');
    await eventually(() => (worker.running.size === 0 ? true : undefined));
    await pause(500);
    cell.store.silentPrefix = undefined;
    const next = await submit(host, { steps, spec: '50' });
    await eventually(() => (startsOf(cell, next.id).length > 0 ? true : undefined));
    expect(startsOf(cell, id)).to.deep.equal([]);
  });
});
