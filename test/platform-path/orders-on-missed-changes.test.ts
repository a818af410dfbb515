/**
 * Guards against starts that rest on a view that a watch has confirmed although it missed a change without an error.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import {
  createOrderWindow,
  followTiming,
  listingIntervalMs,
} from '../../src/controller/order-window.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import { followPrefix, pause } from '../../src/records/index.js';
import { eventually, expectDefined, startsOf, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

const CANCEL_MS = 3000;
const DRAIN_MS = 2000;
const ALL_PROCESSORS = 4000;

describe('orders while watches miss changes without an error', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 1, workers: 0 });
  });

  afterEach(async () => {
    await cell.close();
  });

  // The records of jobs were listed every 15 s only, unlike those of the workers.
  it('does not start a job that was cancelled longer ago than allowed', async () => {
    await cell.addWorker({ workMs: Number });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const host = expectDefined(cell.hosts[0]);
    const worker = expectDefined(cell.workers[0]);
    const steps = [{ cpu: ALL_PROCESSORS }];
    await submit(host, { steps, spec: String(CANCEL_MS + 1000) });
    await eventually(() => (worker.running.size > 0 ? true : undefined));
    const { id } = await submit(host, { steps, spec: '50' });
    cell.store.emptyWatches = true;
    expect(await host.service.cancel(id, performance.now() + 1000)).to.equal('cancelled');
    await eventually(() => (worker.running.size === 0 ? true : undefined));
    await pause(500);
    expect(startsOf(cell, id)).to.deep.equal([]);
  });

  // A worker that reports that it leaves and whose entry then expires served on, and a listing after a gap of the view
  // took it for a ready worker whose entry had expired.
  it('does not start on a worker that began to leave within a gap of the view', async () => {
    const worker = await cell.addWorker({ workMs: () => 50 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const host = expectDefined(cell.hosts[0]);
    const first = await submit(host);
    await eventually(() => (startsOf(cell, first.id).length > 0 ? true : undefined));
    cell.store.silentPrefix = 'servers/';
    await pause(800);
    worker.leave();
    const leftAt = Date.now();
    await pause(DRAIN_MS + 500);
    cell.store.items.apply([], [`servers/${worker.id}`]);
    cell.store.silentPrefix = undefined;
    await submit(host);
    await pause(2000);
    const late = worker.starts.map(({ at }) => at - leftAt).filter((at) => at > DRAIN_MS);
    expect(late).to.deep.equal([]);
  });

  // Watches without the change confirmed the view until the listing failed, 0.8 s after the last good one.
  it('ends the window of orders within the drain time after the last listing', async () => {
    let listedAt = Infinity;
    const store = {
      list: async (_prefix: string, { timeoutMs = 0 } = {}) => {
        if (listedAt === Infinity) {
          listedAt = performance.now();
          await pause(5);
          return ok({ entries: [], revision: 1 });
        }
        await pause(timeoutMs);
        return { isErr: () => true, error: { kind: 'unknown', detail: 'no response' } };
      },
      watch: async (_prefix: string, _after: number, waitMs: number) => {
        await pause(waitMs);
        return ok({ changes: [], revision: 2 });
      },
    } as unknown as KeyValueStore;
    const follower = followPrefix({
      store,
      prefix: 'servers/',
      ...followTiming(DRAIN_MS),
      refreshMs: listingIntervalMs(DRAIN_MS),
      events: SILENT_EVENTS,
      onListing: () => undefined,
      onChange: () => undefined,
    });
    const orders = createOrderWindow({
      views: [{ confirmedAt: () => follower.confirmedAt, maxAgeMs: DRAIN_MS }],
    });
    await pause(50);
    let latestMs = 0;
    while (performance.now() - listedAt < 2 * DRAIN_MS) {
      const remainingMs = orders.remainingMs();
      if (remainingMs > 0)
        latestMs = Math.max(latestMs, performance.now() + remainingMs - listedAt);
      await pause(10);
    }
    follower.stop();
    expect(latestMs, 'latest start after the last listing').to.be.at.most(DRAIN_MS);
  });
});
