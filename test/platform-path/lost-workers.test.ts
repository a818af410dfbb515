/** Guards against tasks that stand still because a new leader counts leases of lost workers from its own election. */
import { expect } from 'chai';
import {
  awaitState,
  eventually,
  expectDefined,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { TestCell } from './support.js';

const WORK_MS = 6000;
/** Until the leader has recorded that the worker is silent. */
const RECORDED_MS = 4000;
/** A lease of 8 s on a clock that is 2 % slow, what it takes to find the silence, and one election. */
const RESTART_MS = 13_000;

describe('a worker that is lost before a change of the leader', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 3, workers: 0 });
    for (let count = 0; count < 2; count += 1) await cell.addWorker({ workMs: () => WORK_MS });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  // The task stood still for 19 s after the kill of the leader, however long the worker had been silent.
  it('has its tasks started elsewhere when its lease has expired', async () => {
    const host = expectDefined(cell.hosts[0]);
    const { id } = await submit(host);
    const first = await eventually(() => startsOf(cell, id)[0]);
    const lost = expectDefined(cell.workers.find((worker) => worker.id === first.worker));
    const lostAt = performance.now();
    await lost.close();
    await new Promise((resolve) => setTimeout(resolve, RECORDED_MS));
    cell.kill(await cell.leader());
    const again = await eventually(() => startsOf(cell, id)[1]);
    expect(performance.now() - lostAt).to.be.lessThan(RESTART_MS);
    expect(again.worker).to.not.equal(first.worker);
    await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
  }).timeout(60_000);
});
