/**
 * Guarantees 1, 2, 5, 6 and 7 under store failures and network partitions.
 */
import { expect } from 'chai';
import type { Cell } from '../../stand-ins/cell.js';
import { checkGuarantees, eventually, runLoad, setStoreFaults, startTestCell } from './support.js';

type Direction = 'send' | 'receive' | 'both';

describe('guarantees while the store and the network fail', function () {
  this.timeout(60_000);
  let cell: Cell;

  before(async () => {
    cell = await startTestCell([2, 2]);
  });

  after(() => cell.stop());

  afterEach(heal);

  async function heal(): Promise<void> {
    await setStoreFaults(cell, { outage: 'none', delayMs: 0, loseAnswers: false, cut: {} });
    await Promise.all(cell.hosts.map((host) => cell.operator.setFaults(host, [])));
    await eventually('all hosts are live and reach the store', async () => {
      const rows = await Promise.all(cell.hosts.map((host) => cell.operator.hosts(host)));
      return rows.flat().every(({ state, storeReachable }) => state === 'live' && storeReachable);
    });
    await cell.ready();
  }

  /** Drops the messages between the chosen hosts and all others, in the given direction. */
  async function cutLinks(direction: Direction, isChosen: (id: string) => boolean): Promise<void> {
    const chosen = cell.hosts.filter(({ id }) => isChosen(id));
    const others = cell.hosts.filter(({ id }) => !isChosen(id));
    const faults = others.map(({ id }) => ({ peer: id, direction, effect: 'drop' }));
    await Promise.all(chosen.map((host) => cell.operator.setFaults(host, faults)));
  }

  const isInFirstDataCentre = (id: string) => id.startsWith('dc1');
  const cutFromStore = () => setStoreFaults(cell, { cut: { dc1: 'hang' } });

  const cases: readonly {
    readonly name: string;
    readonly seed: number;
    readonly inject: () => Promise<unknown>;
  }[] = [
    {
      name: 'the store answers every call with an error',
      seed: 201,
      inject: () => setStoreFaults(cell, { outage: 'error' }),
    },
    {
      name: 'the store never answers',
      seed: 202,
      inject: () => setStoreFaults(cell, { outage: 'hang' }),
    },
    {
      name: 'the store answers slowly',
      seed: 203,
      inject: () => setStoreFaults(cell, { delayMs: 400 }),
    },
    {
      name: 'the store loses the responses to writes',
      seed: 204,
      inject: () => setStoreFaults(cell, { loseAnswers: true }),
    },
    { name: 'a data centre is cut from the store', seed: 205, inject: cutFromStore },
    {
      name: 'a data centre is cut from the other one',
      seed: 206,
      inject: () => cutLinks('both', isInFirstDataCentre),
    },
    {
      name: 'a data centre is cut from the other one and from the store',
      seed: 207,
      inject: () => Promise.all([cutFromStore(), cutLinks('both', isInFirstDataCentre)]),
    },
    {
      name: 'a host sends to its peers but receives nothing from them',
      seed: 208,
      inject: () => cutLinks('receive', (id) => id === 'dc1-host-1'),
    },
    {
      name: 'a host receives from its peers but cannot send to them while the store loses responses',
      seed: 209,
      inject: () =>
        Promise.all([
          setStoreFaults(cell, { loseAnswers: true }),
          cutLinks('send', (id) => id === 'dc1-host-1'),
        ]),
    },
  ];

  for (const { name, seed, inject } of cases) {
    it(name, async () => {
      const load = { seed, count: 90, concurrency: 20, timeoutMs: 1000, inject, heal };
      const { done, requests } = await checkGuarantees(cell, await runLoad(cell, load));
      expect(done, 'requests that were answered').to.be.greaterThan(requests / 2);
    });
  }
});
