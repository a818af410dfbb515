/**
 * Guarantees 1, 2, 5, 6 and 7 while entry hosts are killed, paused and restarted.
 */
import { expect } from 'chai';
import type { Cell } from '../../stand-ins/cell.js';
import {
  call,
  checkGuarantees,
  eventually,
  findHost,
  otherHost,
  readWorkerRecords,
  runLoad,
  setStoreFaults,
  startTestCell,
  submit,
  TIMERS,
  waitForTakeover,
} from './support.js';

const TARGET_HOST = 'dc1-host-2';

describe('guarantees while entry hosts fail', function () {
  this.timeout(60_000);
  let cell: Cell;

  before(async () => {
    cell = await startTestCell([3, 2]);
  });

  after(() => cell.stop());

  afterEach(() => restart(...killed));

  const killed = new Set<string>();

  async function restart(...ids: readonly string[]): Promise<void> {
    for (const id of ids) killed.delete(id);
    await Promise.all(ids.map((id) => cell.startHost(id, findHost(cell, id).dataCentre)));
    await cell.publishFleet();
    await cell.ready();
  }

  async function kill(id: string): Promise<void> {
    killed.add(id);
    await findHost(cell, id).stop('SIGKILL');
  }

  async function pause(id: string): Promise<void> {
    findHost(cell, id).signal('SIGSTOP');
    const pausedAt = Date.now();
    await waitForTakeover(cell, id);
    await eventually('the leases have expired', () => Date.now() > pausedAt + 2 * TIMERS.leaseMs);
    findHost(cell, id).signal('SIGCONT');
  }

  describe('interactive requests and repeats of their ids at other hosts', () => {
    const cases: readonly {
      readonly name: string;
      readonly seed: number;
      readonly inject: () => Promise<unknown>;
      readonly heal: () => Promise<unknown>;
    }[] = [
      {
        name: 'a host is killed and its peers take over',
        seed: 101,
        inject: () => kill(TARGET_HOST),
        heal: () => waitForTakeover(cell, TARGET_HOST),
      },
      {
        name: 'a host is killed, its peers take over and it restarts under its id',
        seed: 102,
        inject: async () => {
          await kill(TARGET_HOST);
          await waitForTakeover(cell, TARGET_HOST);
          await restart(TARGET_HOST);
        },
        heal: () => cell.ready(),
      },
      {
        name: 'a host is killed and restarted before its peers suspect it',
        seed: 103,
        inject: async () => {
          await kill(TARGET_HOST);
          await restart(TARGET_HOST);
        },
        heal: () => cell.ready(),
      },
      {
        name: 'a host is paused until its peers suspect it and its leases expire, and resumes',
        seed: 104,
        inject: () => pause(TARGET_HOST),
        heal: () => cell.ready(),
      },
      {
        name: 'two hosts of a data centre are killed while the store answers slowly',
        seed: 105,
        inject: async () => {
          await setStoreFaults(cell, { delayMs: 200 });
          await Promise.all([kill(TARGET_HOST), kill('dc1-host-3')]);
        },
        heal: async () => {
          await eventually('the survivor holds the workers', async () => {
            const rows = await cell.operator.workers(findHost(cell, 'dc1-host-1'));
            const own = rows.filter(({ dataCentre }) => dataCentre === 'dc1');
            return own.length === 2 && own.every(({ holder }) => holder === 'dc1-host-1');
          });
          await setStoreFaults(cell, { delayMs: 0 });
        },
      },
    ];

    for (const { name, ...load } of cases) {
      it(name, async () => {
        const attempts = await runLoad(cell, { count: 160, timeoutMs: 1500, ...load });
        const { done, requests } = await checkGuarantees(cell, attempts);
        expect(done, 'requests that were answered').to.be.greaterThan(requests / 2);
      });
    }
  });

  describe('jobs whose coordinator is killed while they run', () => {
    for (const entry of ['batch', 'plan', 'gang']) {
      it(`a ${entry} job is joined by its id, not started again and not lost`, async () => {
        const count = entry === 'gang' ? 3 : 1;
        const receipt = await submit(otherHost(cell, TARGET_HOST), {
          entry,
          runMs: 2500,
          wait: false,
        });
        expect(receipt.result, receipt.body).to.equal('accepted');
        await eventually('the job runs', async () => {
          return (await readWorkerRecords(cell)).runs(receipt.id).length === count;
        });
        const events = await cell.operator.timeline(receipt.id);
        const coordinator = events.find(({ kind }) => kind === 'accepted')?.host ?? '';
        await kill(coordinator);
        const observer = otherHost(cell, coordinator);
        let answer = { status: 0, body: '' };
        const describe = () => `the job ends; ${observer.id} says ${answer.body}`;
        await eventually(describe, async () => {
          answer = await call(observer, `/v1/requests/${receipt.id}?waitMs=1000`);
          return answer.status !== 202 && answer.status !== 504;
        });
        const runs = (await readWorkerRecords(cell)).runs(receipt.id);
        expect(runs.map(({ outcome }) => outcome)).to.deep.equal(Array(count).fill('answered'));
        expect(answer.status).to.equal(200);
        if (entry !== 'gang') expect(answer.body).to.equal(receipt.expected);
      });
    }
  });
});
