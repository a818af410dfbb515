/**
 * Guarantee 4: no team has more tasks running than its upper limit, according to the records of all workers.
 */
import { expect } from 'chai';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  countRunning,
  createCatalogueYaml,
  DATA_CENTRES,
  eventually,
  heal,
  hostsOf,
  peakRunning,
  readRuns,
  reportFigure,
  setStoreFaults,
  startLoad,
  TEAM_KEY,
  useCell,
  type Cell,
  type Load,
} from './support.js';

const LIMIT = 24;
const LOWERED_LIMIT = 8;
const RUN_MS = 300;
const [FIRST = '', SECOND = ''] = DATA_CENTRES;

interface Fault {
  readonly title: string;
  /** Runs under load on the hosts in `reached`; resolves when the fault is over. */
  readonly during: (cell: Cell, reached: Set<Cell['hosts'][number]>) => Promise<unknown>;
}

/** Waits until the given number of further tasks have started. */
async function awaitStarts(cell: Cell, starts: number): Promise<void> {
  const before = (await readRuns(cell)).length;
  await eventually('more tasks start', async () => {
    const now = (await readRuns(cell)).length;
    return now - before >= starts || now - before;
  });
}

async function awaitHolding(cell: Cell, host: string, held: boolean, at = cell.hosts[1]) {
  await eventually(`${host} ${held ? 'holds' : 'holds no'} workers`, async () => {
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
    title: 'lost responses to writes',
    during: async (cell) => {
      await setStoreFaults(cell, { loseAnswers: true });
      await awaitStarts(cell, 2 * LIMIT);
    },
  },
  {
    title: 'a worker that is unreachable for a while',
    during: async (cell) => {
      const [worker] = cell.workers.workers;
      if (worker === undefined) return;
      await awaitStarts(cell, LIMIT);
      for (const frozen of [true, false]) {
        await callControlRoute(worker.url, 'PATCH', '/control/settings', { frozen });
        await eventually(`the worker is ${frozen ? 'unreachable' : 'live'}`, async () => {
          const rows = await cell.operator.workers();
          const state = rows.find((row) => row.worker === worker.id)?.state;
          return state === (frozen ? 'unreachable' : 'live') || state;
        });
      }
      await awaitStarts(cell, 4 * LIMIT);
    },
  },
  {
    title: 'a killed and restarted host',
    during: async (cell) => {
      const [host] = hostsOf(cell, FIRST);
      if (host === undefined) return;
      await host.stop('SIGKILL');
      await awaitHolding(cell, host.id, false);
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
      await awaitHolding(cell, host.id, false);
      await awaitStarts(cell, LIMIT);
      host.signal('SIGCONT');
      reached.add(host);
      await awaitHolding(cell, host.id, true);
      await awaitStarts(cell, 2 * LIMIT);
    },
  },
];

describe('control: upper limits', () => {
  const cell = useCell({ workers: 2, slots: 16, limit: LIMIT });
  let load: Load | undefined;

  function startDemand(hosts: () => Cell['hosts'], callers = 3 * LIMIT): void {
    load = startLoad(hosts, callers, { entry: 'lookup', key: TEAM_KEY, input: { runMs: RUN_MS } });
  }

  async function expectWithinLimit(title: string, since: number, limit = LIMIT): Promise<void> {
    const runs = await readRuns(cell());
    const peak = peakRunning(runs, 'lawns', since);
    reportFigure(`${title}: at most ${String(peak)} of ${String(limit)} ran at the same time`);
    expect(peak).to.be.at.most(limit);
  }

  afterEach(async () => {
    for (const host of cell().hosts) host.signal('SIGCONT');
    await heal(cell());
    await load?.stop();
    load = undefined;
    // A charge that is never released permanently reduces the usable limit and the capacity of a worker.
    await eventually('no worker is charged for an ended task', async () => {
      const rows = await cell().operator.workers();
      const charged = rows.filter(({ running }) => running > 0);
      return charged.length === 0 || charged.map(({ worker, running }) => [worker, running]);
    });
  });

  for (const { title, during } of FAULTS) {
    it(`are kept with ${title}`, async () => {
      const since = Date.now();
      const reached = new Set(cell().hosts);
      startDemand(() => [...reached]);
      await during(cell(), reached);
      await expectWithinLimit(title, since);
    });
  }

  it('are kept and can be fully used when all demand arrives at one data centre', async () => {
    const since = Date.now();
    startDemand(() => hostsOf(cell(), SECOND));
    let maxRunning = 0;
    const tookMs = await eventually('the limit is used', async () => {
      maxRunning = Math.max(maxRunning, countRunning(await readRuns(cell()), 'lawns'));
      return maxRunning >= LIMIT * 0.9 || maxRunning;
    });
    reportFigure(
      `skew: ${String(maxRunning)} of ${String(LIMIT)} usable after ${String(tookMs)} ms`,
    );
    await expectWithinLimit('skew', since);
  });

  it('are kept once the usage has fallen to a lowered limit', async () => {
    startDemand(() => cell().hosts);
    await eventually('many tasks run', async () => {
      return countRunning(await readRuns(cell()), 'lawns') > LOWERED_LIMIT * 2;
    });
    const applied = await cell().operator.apply(createCatalogueYaml({ limit: LOWERED_LIMIT }));
    expect(applied.status, applied.detail).to.equal(200);
    const appliedAt = Date.now();
    const tookMs = await eventually('no more than the lowered limit run', async () => {
      const running = countRunning(await readRuns(cell()), 'lawns');
      return running <= LOWERED_LIMIT || running;
    });
    reportFigure(`lowered limit: reached after ${String(tookMs)} ms`);
    await awaitStarts(cell(), 2 * LOWERED_LIMIT);
    await expectWithinLimit('lowered limit', appliedAt + tookMs, LOWERED_LIMIT);
  });
});
