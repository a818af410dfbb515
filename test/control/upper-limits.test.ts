/**
 * Guarantee 4: no team has more tasks running than its upper limit, over the records of all workers.
 */
import { expect } from 'chai';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  countRunning,
  DATA_CENTRES,
  describeCatalogue,
  heal,
  hostsOf,
  peakRunning,
  readRuns,
  report,
  setStoreFaults,
  startLoad,
  TEAM_KEY,
  until,
  useCell,
  type Cell,
  type Load,
} from './support.js';

const LIMIT = 24;
const LOWERED = 8;
const RUN_MS = 300;
const [FIRST = '', SECOND = ''] = DATA_CENTRES;

interface Fault {
  readonly title: string;
  /** Runs under load on the reached hosts; resolves when the fault is over. */
  readonly during: (cell: Cell, reached: Set<Cell['hosts'][number]>) => Promise<unknown>;
}

/** Lets the load go on until so many more tasks have started. */
async function awaitStarts(cell: Cell, starts: number): Promise<void> {
  const before = (await readRuns(cell)).length;
  await until('more tasks start', async () => {
    const now = (await readRuns(cell)).length;
    return now - before >= starts || now - before;
  });
}

async function awaitHeldBy(cell: Cell, host: string, held: boolean, at = cell.hosts[1]) {
  await until(`${host} ${held ? 'holds' : 'holds no'} workers`, async () => {
    const rows = await cell.operator.workers(at);
    const holders = rows.map(({ holder }) => holder);
    return (holders.length === 4 && holders.includes(host) === held) || holders;
  });
}

const FAULTS: readonly Fault[] = [
  { title: 'demand everywhere', during: (cell) => awaitStarts(cell, 2 * LIMIT) },
  {
    title: 'a store outage',
    during: async (cell) => {
      await setStoreFaults(cell, { outage: 'error' });
      await awaitStarts(cell, LIMIT);
    },
  },
  {
    title: 'lost answers of writes',
    during: async (cell) => {
      await setStoreFaults(cell, { loseAnswers: true });
      await awaitStarts(cell, 2 * LIMIT);
    },
  },
  {
    title: 'workers that cannot be reached for a while',
    during: async (cell) => {
      const [worker] = cell.workers.workers;
      if (worker === undefined) return;
      await awaitStarts(cell, LIMIT);
      for (const frozen of [true, false]) {
        await callControlRoute(worker.url, 'PATCH', '/control/settings', { frozen });
        await until(`the worker is ${frozen ? 'unreachable' : 'live'}`, async () => {
          const rows = await cell.operator.workers();
          const state = rows.find((row) => row.worker === worker.id)?.state;
          return state === (frozen ? 'unreachable' : 'live') || state;
        });
      }
      await awaitStarts(cell, 4 * LIMIT);
    },
  },
  {
    title: 'a killed and replaced host',
    during: async (cell) => {
      const [host] = hostsOf(cell, FIRST);
      if (host === undefined) return;
      await host.stop('SIGKILL');
      await awaitHeldBy(cell, host.id, false);
      await cell.startHost(host.id, host.dataCentre);
      await cell.publishFleet();
      await cell.ready();
      await awaitStarts(cell, LIMIT);
    },
  },
  {
    title: 'a paused host that resumes after takeover',
    during: async (cell, reached) => {
      const [host] = hostsOf(cell, FIRST);
      if (host === undefined) return;
      reached.delete(host);
      host.signal('SIGSTOP');
      await awaitHeldBy(cell, host.id, false);
      await awaitStarts(cell, LIMIT);
      host.signal('SIGCONT');
      reached.add(host);
      await awaitHeldBy(cell, host.id, true);
      await awaitStarts(cell, 2 * LIMIT);
    },
  },
];

describe('control: upper limits', () => {
  const cell = useCell({ workers: 2, slots: 16, limit: LIMIT });
  let load: Load | undefined;

  function demand(hosts: () => Cell['hosts'], callers = 3 * LIMIT): void {
    load = startLoad(hosts, callers, { entry: 'lookup', key: TEAM_KEY, input: { runMs: RUN_MS } });
  }

  async function expectWithinLimit(title: string, since: number, limit = LIMIT): Promise<void> {
    const runs = await readRuns(cell());
    const peak = peakRunning(runs, 'lawns', since);
    report(`${title}: at most ${String(peak)} of ${String(limit)} ran at the same time`);
    expect(peak).to.be.at.most(limit);
  }

  afterEach(async () => {
    for (const host of cell().hosts) host.signal('SIGCONT');
    await heal(cell());
    await load?.stop();
    load = undefined;
    // A charge that is never given back takes a part of the limit and of a worker away for good.
    await until('no worker is charged for an ended task', async () => {
      const rows = await cell().operator.workers();
      const charged = rows.filter(({ running }) => running > 0);
      return charged.length === 0 || charged.map(({ worker, running }) => [worker, running]);
    });
  });

  for (const { title, during } of FAULTS) {
    it(`are kept with ${title}`, async () => {
      const since = Date.now();
      const reached = new Set(cell().hosts);
      demand(() => [...reached]);
      await during(cell(), reached);
      await expectWithinLimit(title, since);
    });
  }

  it('are kept and can be used up when all demand comes to one data centre', async () => {
    const since = Date.now();
    demand(() => hostsOf(cell(), SECOND));
    let most = 0;
    const took = await until('the limit is used', async () => {
      most = Math.max(most, countRunning(await readRuns(cell()), 'lawns'));
      return most >= LIMIT * 0.9 || most;
    });
    report(`skew: ${String(most)} of ${String(LIMIT)} usable after ${String(took)} ms`);
    await expectWithinLimit('skew', since);
  });

  it('are kept from the time at which a lowered limit has been reached', async () => {
    demand(() => cell().hosts);
    await until('many tasks run', async () => {
      return countRunning(await readRuns(cell()), 'lawns') > LOWERED * 2;
    });
    const applied = await cell().operator.apply(describeCatalogue({ limit: LOWERED }));
    expect(applied.status, applied.detail).to.equal(200);
    const appliedAt = Date.now();
    const fell = await until('no more than the lowered limit run', async () => {
      const running = countRunning(await readRuns(cell()), 'lawns');
      return running <= LOWERED || running;
    });
    report(`lowered limit: reached after ${String(fell)} ms`);
    await awaitStarts(cell(), 2 * LOWERED);
    await expectWithinLimit('lowered limit', appliedAt + fell, LOWERED);
  });
});
