/**
 * Guarantees 1, 2, 5, 6 and 7 while the store fails and data centres are cut off.
 */
import { expect } from 'chai';
import type { Cell } from '../../stand-ins/cell.js';
import { eventually, judge, runLoad, setStore, startTestCell } from './support.js';

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
    await setStore(cell, { outage: 'none', delayMs: 0, loseAnswers: false, cut: {} });
    await Promise.all(cell.hosts.map((host) => cell.operator.setFaults(host, [])));
    await eventually('every host hears every other one', async () => {
      const rows = await Promise.all(cell.hosts.map((host) => cell.operator.hosts(host)));
      return rows.flat().every(({ state, storeReachable }) => state === 'live' && storeReachable);
    });
    await cell.ready();
  }

  /** Drops the messages between the hosts that are chosen and all others. */
  async function cutLinks(direction: Direction, isChosen: (id: string) => boolean): Promise<void> {
    const chosen = cell.hosts.filter(({ id }) => isChosen(id));
    const others = cell.hosts.filter(({ id }) => !isChosen(id));
    const faults = others.map(({ id }) => ({ peer: id, direction, effect: 'drop' }));
    await Promise.all(chosen.map((host) => cell.operator.setFaults(host, faults)));
  }

  const isInFirst = (id: string) => id.startsWith('dc1');
  const cutFromStore = () => setStore(cell, { cut: { dc1: 'hang' } });

  const cases: readonly {
    readonly name: string;
    readonly seed: number;
    readonly inject: () => Promise<unknown>;
  }[] = [
    {
      name: 'the store refuses every call',
      seed: 201,
      inject: () => setStore(cell, { outage: 'error' }),
    },
    {
      name: 'the store never answers',
      seed: 202,
      inject: () => setStore(cell, { outage: 'hang' }),
    },
    {
      name: 'the store answers slowly',
      seed: 203,
      inject: () => setStore(cell, { delayMs: 400 }),
    },
    {
      name: 'the store loses the answers of its writes',
      seed: 204,
      inject: () => setStore(cell, { loseAnswers: true }),
    },
    { name: 'a data centre is cut from the store', seed: 205, inject: cutFromStore },
    {
      name: 'a data centre is cut from the other one',
      seed: 206,
      inject: () => cutLinks('both', isInFirst),
    },
    {
      name: 'a data centre is cut from the other one and from the store',
      seed: 207,
      inject: () => Promise.all([cutFromStore(), cutLinks('both', isInFirst)]),
    },
    {
      name: 'a host sends to its peers and hears none of them',
      seed: 208,
      inject: () => cutLinks('receive', (id) => id === 'dc1-host-1'),
    },
    {
      name: 'a host hears its peers and reaches none of them while the store loses answers',
      seed: 209,
      inject: () =>
        Promise.all([
          setStore(cell, { loseAnswers: true }),
          cutLinks('send', (id) => id === 'dc1-host-1'),
        ]),
    },
  ];

  for (const { name, seed, inject } of cases) {
    it(name, async () => {
      const load = { seed, count: 90, concurrency: 20, timeoutMs: 1000, inject, heal };
      const { done, requests } = await judge(cell, await runLoad(cell, load));
      expect(done, 'requests that were answered').to.be.greaterThan(requests / 2);
    });
  }
});
