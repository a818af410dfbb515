/**
 * Guards against a leader that stops following the workers because of one entry that another writer left among
 * theirs: it then starts tasks on workers that are leaving, and gives no work to new ones.
 */
import { expect } from 'chai';
import {
  awaitState,
  expectDefined,
  eventually,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { TestCell } from './support.js';

const ENTRY = {
  service: 'metrics',
  address: '10.0.0.9:9100',
  zone: 'centro',
  state: 'ready',
  'free-capacity': { cpu: 0, 'mem-mb': 0, gpu: 0 },
  labels: [],
  born: 1_790_000_000_000,
};

/** Time for the leader to learn of a changed entry: the batch delay of 150 ms and a call. */
const LEARN_MS = 600;
const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe('an entry of another writer among those of the workers', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 2, workers: 2 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    const { id } = await submit(expectDefined(cell.hosts[0]));
    await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
  });

  afterEach(async () => {
    await cell.close();
  });

  async function leaveEntry(fields: Partial<typeof ENTRY>) {
    const value = Buffer.from(JSON.stringify({ ...ENTRY, ...fields })).toString('base64');
    cell.store.items.apply([{ key: 'servers/metrics-agent', value, lease: 0 }], []);
    await pause(LEARN_MS);
  }

  const addresses = ['300.0.0.1:9100', '10.1.0.17:99999', '10.1.0.17:65536', '10..0.17:9100'];
  for (const address of addresses) {
    describe(`with the address ${address}`, () => {
      // DRAIN: the leader did not learn that a worker is leaving.
      it('does not hide that a worker is leaving', async () => {
        await leaveEntry({ address });
        const [leaving, other] = cell.workers.map(expectDefined);
        leaving?.leave();
        await pause(LEARN_MS);
        const host = expectDefined(cell.hosts[0]);
        const jobs = await Promise.all(Array.from({ length: 8 }, () => submit(host)));
        for (const { id } of jobs) await awaitState(host, id, 'completed');
        const workers = jobs.flatMap(({ id }) => startsOf(cell, id).map(({ worker }) => worker));
        expect(workers).to.deep.equal(jobs.map(() => other?.id));
      });

      // LOST: a worker that joined later got no work.
      it('does not hide a new worker', async () => {
        await leaveEntry({ address });
        const added = await cell.addWorker({ processorMillis: 64_000 });
        const host = expectDefined(cell.hosts[0]);
        const { id } = await submit(host, { steps: [{ cpu: 64_000 }] });
        await awaitState(host, id, 'completed');
        expect(startsOf(cell, id).map(({ worker }) => worker)).to.deep.equal([added.id]);
      });

      // LOST: the successor never finished restoring, so nothing was started any more.
      it('does not keep a successor from starting work', async () => {
        await leaveEntry({ address });
        cell.kill(await cell.leader());
        const survivor = expectDefined(cell.hosts[0]);
        await eventually(async () =>
          (await cell.leader().catch(() => undefined)) === survivor ? true : undefined,
        );
        const { id } = await submit(survivor);
        await awaitState(survivor, id, 'completed');
      });
    });
  }
});
