/**
 * Guards against starts in an evacuated data centre later than the bound after the request, under one failure at a time,
 * and against work that is lost, stopped or withheld because of an evacuation.
 */
import { expect } from 'chai';
import { pause } from '../../src/records/index.js';
import type { WorkerStandIn, WorkerStandInOptions } from '../../stand-ins/platform/worker.js';
import {
  awaitState,
  EVACUATION_PREFIX,
  eventually,
  expectDefined,
  setStoreFaults,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { TestCell, TestCellOptions } from './support.js';

const EVACUATE_MS = 2000;
/** All processors of a worker, so that a second task waits for the end of the first. */
const ALL_PROCESSORS = 4000;
const KEY = `${EVACUATION_PREFIX}dc1`;

describe('evacuation of a data centre', () => {
  let cell: TestCell;
  /** The only worker in the data centre dc1. */
  let inside: WorkerStandIn;

  async function start(options: TestCellOptions = {}, worker: Partial<WorkerStandInOptions> = {}) {
    cell = await startTestCell({ hosts: 1, workers: 0, evacuateMs: EVACUATE_MS, ...options });
    inside = await cell.addWorker({ dataCentre: 'dc1', workMs: Number, ...worker });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const { id } = await submit(host(), { spec: '10' });
    await awaitState(host(), id, 'completed');
  }

  afterEach(async () => {
    await cell.close();
  });

  const host = () => expectDefined(cell.hosts.at(-1));
  const addOutside = (options: Partial<WorkerStandInOptions> = {}) =>
    cell.addWorker({ dataCentre: 'dc2', workMs: Number, ...options });

  /** Writes the key as operators do and returns the time of the acknowledgement. */
  function evacuate(value = '{}'): number {
    const encoded = Buffer.from(value).toString('base64');
    cell.store.items.apply([{ key: KEY, value: encoded, lease: 0 }], []);
    return Date.now();
  }

  function endEvacuation() {
    cell.store.items.apply([], [KEY]);
  }

  /** Starts inside later than the bound after the request, in milliseconds after it. */
  const lateStarts = (since: number) =>
    inside.starts.map(({ at }) => at - since).filter((ms) => ms > EVACUATE_MS);

  /** Submits a job of one task every 50 ms. */
  async function submitFor(durationMs: number): Promise<readonly string[]> {
    const until = performance.now() + durationMs;
    const ids: string[] = [];
    while (performance.now() < until) {
      const { id, answer } = await submit(host(), { spec: '10' });
      if (answer.kind === 'accepted') ids.push(id);
      await pause(50);
    }
    return ids;
  }

  async function awaitAll(ids: readonly string[]) {
    expect(ids).not.to.have.length(0);
    for (const id of ids) await awaitState(host(), id, 'completed');
  }

  it('lets running work continue, sends new work elsewhere and uses the workers again after its end', async () => {
    await start();
    const running = await submit(host(), { spec: '1500' });
    await eventually(() => (inside.running.size > 0 ? true : undefined));
    const since = evacuate();
    await pause(EVACUATE_MS / 2);
    const waiting = await submit(host(), { spec: '10' });
    expect(waiting.answer.kind).to.equal('accepted');
    await awaitState(host(), running.id, 'completed');
    await pause(EVACUATE_MS);
    expect(lateStarts(since)).to.deep.equal([]);
    expect(startsOf(cell, waiting.id)).to.deep.equal([]);
    expect(inside.finished.map(({ how }) => how)).to.deep.equal(['done', 'done']);
    endEvacuation();
    const endedAt = performance.now();
    await awaitState(host(), waiting.id, 'completed');
    expect(performance.now() - endedAt).to.be.lessThan(EVACUATE_MS);
  });

  it('starts work elsewhere that ends inside, instead of repeating it there', async () => {
    await start({}, { outcome: (_task, run) => (run === 1 ? 'failed' : 'done') });
    const { id } = await submit(host(), { spec: '700' });
    await eventually(() => (inside.running.size > 0 ? true : undefined));
    evacuate();
    await eventually(() => (inside.running.size === 0 ? true : undefined));
    // Long enough for a retry at the only worker.
    await pause(500);
    expect(startsOf(cell, id)).to.have.length(1);
    const outside = await addOutside();
    await awaitState(host(), id, 'completed');
    expect(startsOf(cell, id).map(({ worker }) => worker)).to.deep.equal([inside.id, outside.id]);
  });

  it('withdraws a gang with one member inside as a whole', async () => {
    await start();
    const outside = await addOutside();
    const steps = [{ count: 2, cpu: ALL_PROCESSORS, gang: true }];
    const blocking = await submit(host(), { steps, spec: '300' });
    const gang = await submit(host(), { steps, spec: '10' });
    await eventually(() => (startsOf(cell, blocking.id).length === 2 ? true : undefined));
    // The end of the first gang frees the workers, so the second one is placed and its record is not durable.
    cell.store.rejectsTransactions = true;
    await pause(500);
    evacuate();
    await pause(EVACUATE_MS / 2);
    cell.store.rejectsTransactions = false;
    await pause(EVACUATE_MS);
    expect(startsOf(cell, gang.id)).to.deep.equal([]);
    const second = await addOutside();
    await awaitState(host(), gang.id, 'completed');
    const workers = startsOf(cell, gang.id).map(({ worker }) => worker);
    expect(workers).to.have.members([outside.id, second.id]);
  });

  it('gets no second start for one whose response was lost', async () => {
    await start();
    inside.silent = true;
    const { id } = await submit(host(), { spec: '10' });
    await pause(200);
    evacuate();
    await pause(300);
    // A start that is repeated would be carried out from now on.
    inside.silent = false;
    const outside = await addOutside();
    await awaitState(host(), id, 'completed');
    expect(startsOf(cell, id).map(({ worker }) => worker)).to.deep.equal([outside.id]);
  });

  it('gets no late start while the store answers nothing about evacuations', async () => {
    await start();
    cell.store.silentPrefix = EVACUATION_PREFIX;
    const since = evacuate();
    const ids = await submitFor(EVACUATE_MS + 1500);
    expect(lateStarts(since)).to.deep.equal([]);
    cell.store.silentPrefix = undefined;
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no late start while watches end without the change', async () => {
    await start();
    cell.store.emptyWatches = true;
    const since = evacuate();
    const ids = await submitFor(EVACUATE_MS + 1500);
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no late start when the history of the store is lost', async () => {
    await start();
    const since = evacuate();
    cell.store.items.compact();
    const ids = await submitFor(EVACUATE_MS + 500);
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no late start by an order whose record became durable late', async () => {
    await start();
    const steps = [{ cpu: ALL_PROCESSORS }];
    const blocking = await submit(host(), { steps, spec: '150' });
    const { id } = await submit(host(), { steps, spec: '10' });
    await eventually(() => (startsOf(cell, blocking.id).length > 0 ? true : undefined));
    cell.store.rejectsTransactions = true;
    await pause(400);
    const since = evacuate();
    await pause(EVACUATE_MS + 300);
    cell.store.rejectsTransactions = false;
    await addOutside();
    await awaitState(host(), id, 'completed');
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no start from a leader that is elected during the evacuation', async () => {
    await start({ hosts: 2 });
    const since = evacuate();
    await pause(300);
    cell.kill(await cell.leader());
    const ids = await submitFor(EVACUATE_MS + 3000);
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no start from a leader that has not read the evacuations yet', async () => {
    await start({ hosts: 2 });
    evacuate();
    cell.store.silentPrefix = EVACUATION_PREFIX;
    const formerStarts = inside.starts.length;
    cell.kill(await cell.leader());
    const ids = await submitFor(3000);
    expect(inside.starts).to.have.length(formerStarts);
    const { leader, evacuations } = host().describeEvacuations();
    expect([leader, evacuations]).to.deep.equal([true, 'unknown']);
    cell.store.silentPrefix = undefined;
    await addOutside();
    await awaitAll(ids);
    expect(inside.starts).to.have.length(formerStarts);
  });

  it('gets work again from a leader that is elected after its end', async () => {
    await start({ hosts: 2 });
    evacuate();
    await pause(300);
    const { id } = await submit(host(), { spec: '10' });
    cell.kill(await cell.leader());
    endEvacuation();
    await awaitState(host(), id, 'completed');
    expect(startsOf(cell, id).map(({ worker }) => worker)).to.deep.equal([inside.id]);
  });

  it('gets no late start around an outage of the store', async () => {
    await start();
    const since = evacuate();
    await setStoreFaults(cell, { outage: 'hang' });
    await pause(EVACUATE_MS);
    await setStoreFaults(cell, { outage: 'none' });
    const ids = await submitFor(500);
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('gets no late start although the value of the key cannot be read', async () => {
    await start();
    const since = evacuate('\u0000[');
    const ids = await submitFor(EVACUATE_MS + 500);
    await addOutside();
    await awaitAll(ids);
    expect(lateStarts(since)).to.deep.equal([]);
  });

  it('concerns no other data centre whose workers register later', async () => {
    await start();
    evacuate();
    await pause(300);
    const other = await addOutside({ dataCentre: 'dc10' });
    const { id } = await submit(host(), { spec: '10' });
    await awaitState(host(), id, 'completed');
    expect(startsOf(cell, id).map(({ worker }) => worker)).to.deep.equal([other.id]);
  });

  it('concerns no deployment without a bound for it', async () => {
    cell = await startTestCell({ hosts: 1, workers: 1 });
    evacuate();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const { id } = await submit(host());
    await awaitState(host(), id, 'completed');
  });
});
