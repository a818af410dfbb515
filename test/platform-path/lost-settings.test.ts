/**
 * Guards against jobs and ends that are judged by what the leader no longer knows.
 */
import { expect } from 'chai';
import { pause } from '../../src/records/index.js';
import { eventually, expectDefined, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

describe('what the leader no longer knows', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 1, workers: 0 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  // An accepted job whose queue was removed was shown as failed after the first failure of a task.
  it('does not fail a job of a removed queue after its first failed run', async () => {
    await cell.addWorker({
      workMs: () => 2500,
      outcome: (_task, run) => (run === 1 ? 'failed' : 'done'),
    });
    const host = expectDefined(cell.hosts[0]);
    const worker = expectDefined(cell.workers[0]);
    const { id } = await submit(host);
    await eventually(() => (worker.running.size > 0 ? true : undefined));
    cell.configure({ version: 2, queues: [{ name: 'others', priority: 0 }] });
    const state = await eventually(async () => {
      const shown = await host.service.state(id);
      return shown === 'completed' || shown === 'failed' ? shown : undefined;
    });
    expect(state).to.equal('completed');
  });

  // The session was removed as idle while the record of an end was not durable. The next session with the same
  // incarnation took the end for one of an unknown run and acknowledged it.
  it('does not acknowledge an end before its record is durable if the entry was away', async () => {
    const worker = await cell.addWorker({ workMs: () => 100 });
    const host = expectDefined(cell.hosts[0]);
    const { id } = await submit(host);
    await eventually(() => (worker.running.size > 0 ? true : undefined));
    cell.store.rejectsTransactions = true;
    await eventually(() => (worker.finished.length > 0 ? true : undefined));
    const key = `servers/${worker.id}`;
    const { value } = expectDefined(cell.store.items.get(key));
    cell.store.items.apply([], [key]);
    await pause(7000);
    cell.store.items.apply([{ key, value, lease: 0 }], []);
    await pause(1500);
    const { acknowledgedThrough } = worker;
    const record = cell.store.items.get(`progress/${id}`)?.value ?? '';
    cell.store.rejectsTransactions = false;
    expect(
      { acknowledgedThrough },
      `with the record ${Buffer.from(record, 'base64').toString()}`,
    ).to.deep.equal({ acknowledgedThrough: 0 });
  });
});
