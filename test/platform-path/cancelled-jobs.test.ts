/**
 * Guards against starts of tasks whose job's cancellation was acknowledged longer ago than the platform allows,
 * whatever the leader has heard of it.
 */
import { expect } from 'chai';
import { pause } from '../../src/records/index.js';
import {
  awaitState,
  eventually,
  expectDefined,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
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

  for (const prefix of ['jobs/', 'cancelled/']) {
    it(`is not started late while the store answers nothing about ${prefix}`, async () => {
      // A watch and listings without a response hid the cancellation, and the job started when its turn came.
      const host = expectDefined(cell.hosts[0]);
      const worker = expectDefined(cell.workers[0]);
      const steps = [{ cpu: ALL_PROCESSORS }];
      await submit(host, { steps, spec: String(CANCEL_MS + 1000) });
      await eventually(() => (worker.running.size > 0 ? true : undefined));
      const { id } = await submit(host, { steps, spec: '50' });
      cell.store.silentPrefix = prefix;
      expect(await host.service.cancel(id, performance.now() + 1000)).to.equal('cancelled');
      await eventually(() => (worker.running.size === 0 ? true : undefined));
      await pause(500);
      cell.store.silentPrefix = undefined;
      const next = await submit(host, { steps, spec: '50' });
      await eventually(() => (startsOf(cell, next.id).length > 0 ? true : undefined));
      expect(startsOf(cell, id)).to.deep.equal([]);
    });
  }

  // Guards against an index of cancellations that grows, because each listing of it would become longer.
  for (const workMs of ['50', '60000']) {
    it(`leaves no entry in the index after it has ended (work of ${workMs} ms)`, async () => {
      const host = expectDefined(cell.hosts[0]);
      const { id } = await submit(host, { spec: workMs });
      await eventually(() => (startsOf(cell, id).length > 0 ? true : undefined));
      await host.service.cancel(id, performance.now() + 1000);
      await awaitState(host, id, 'cancelled');
      await eventually(() => cell.store.items.get(`jobs/${id}`) === undefined || undefined);
      expect(cell.store.items.get(`cancelled/${id}`)).to.equal(undefined);
      await host.service.cancel(id, performance.now() + 1000);
      expect(cell.store.items.get(`cancelled/${id}`)).to.equal(undefined);
    });
  }
});
