/**
 * Guards against starts on a worker that has been leaving for longer than the platform's drain time, whatever the
 * leader has heard of it, and against work that stops although the store answers.
 */
import { expect } from 'chai';
import { pause } from '../../src/records/index.js';
import type { WorkerStandIn } from '../../stand-ins/platform/worker.js';
import { awaitState, eventually, expectDefined, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

/** The platform's drain time on small sites, which is the default of a host. */
const DRAIN_MS = 2000;
/** All processors of a worker, so that a second task waits for the end of the first. */
const ALL_PROCESSORS = 4000;
const FLEET_PREFIX = 'servers/';

describe('a leaving worker', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 1, workers: 1 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const { id } = await submit(expectDefined(cell.hosts[0]));
    await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
  });

  afterEach(async () => {
    await cell.close();
  });

  /** Starts later than the drain time after the worker's report, in milliseconds after it. */
  function lateStarts(worker: WorkerStandIn, leftAt: number): number[] {
    return worker.starts.map(({ at }) => at - leftAt).filter((ms) => ms > DRAIN_MS);
  }

  /** Submits a job of one task every 50 ms. */
  async function submitFor(durationMs: number): Promise<readonly string[]> {
    const host = expectDefined(cell.hosts[0]);
    const until = performance.now() + durationMs;
    const ids: string[] = [];
    while (performance.now() < until) {
      const { id, answer } = await submit(host);
      if (answer.kind === 'accepted') ids.push(id);
      await pause(50);
    }
    return ids;
  }

  it('gets no late start while the store answers nothing about workers', async () => {
    // A watch and a listing without a response hid the change for 3.2 s, and starts went on meanwhile.
    const worker = expectDefined(cell.workers[0]);
    cell.store.silentPrefix = FLEET_PREFIX;
    worker.leave();
    const leftAt = Date.now();
    const ids = await submitFor(DRAIN_MS + 1500);
    cell.store.silentPrefix = undefined;
    await cell.addWorker();
    for (const id of ids) await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
    expect(lateStarts(worker, leftAt)).to.deep.equal([]);
  });

  it('gets no late start by an order whose record became durable late', async () => {
    // The order was decided before the worker was leaving and was sent as soon as its record was durable.
    const host = expectDefined(cell.hosts[0]);
    const worker = expectDefined(cell.workers[0]);
    const blocking = await submit(host, { steps: [{ cpu: ALL_PROCESSORS }] });
    const { id } = await submit(host, { steps: [{ cpu: ALL_PROCESSORS }] });
    await eventually(() =>
      worker.starts.some(({ task }) => task.startsWith(blocking.id)) ? true : undefined,
    );
    cell.store.rejectsTransactions = true;
    // The end of the first task frees the worker, so the second one is placed and its record is not durable.
    await pause(300);
    worker.leave();
    const leftAt = Date.now();
    await pause(DRAIN_MS + 300);
    cell.store.rejectsTransactions = false;
    await cell.addWorker();
    await awaitState(host, id, 'completed');
    expect(lateStarts(worker, leftAt)).to.deep.equal([]);
  });

  it('gets no late start while watches end without the change', async () => {
    // The change was missed without an error, and only the listing every 15 s showed it.
    const worker = expectDefined(cell.workers[0]);
    cell.store.emptyWatches = true;
    worker.leave();
    const leftAt = Date.now();
    const ids = await submitFor(DRAIN_MS + 1500);
    await cell.addWorker();
    for (const id of ids) await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
    expect(lateStarts(worker, leftAt)).to.deep.equal([]);
  });

  it('does not stop other work while watches get no response', async () => {
    // Guards against orders that wait for a confirmation although listings of the store show all workers.
    const worker = expectDefined(cell.workers[0]);
    cell.store.silentWatches = true;
    await submitFor(4000);
    const starts = worker.starts.map(({ at }) => at);
    const gaps = starts.map((at, index) => at - (starts[index - 1] ?? at));
    expect(Math.max(...gaps)).to.be.lessThan(600);
    expect(starts.length).to.be.greaterThan(30);
  });
});
