/**
 * Guarantee 8: a leaving worker gets no new work after a few seconds, and what runs there finishes.
 */
import { expect } from 'chai';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  readRuns,
  report,
  startLoad,
  submit,
  TEAM_KEY,
  until,
  useCell,
  type Cell,
} from './support.js';

const MAX_NOTICE_MS = 3000;
const LAG_MS = 500;
const JOBS = 24;

interface Notice {
  readonly title: string;
  /** Makes the worker leave; resolves with the time from which the bound counts. */
  readonly leave: (cell: Cell, worker: string) => Promise<number>;
  readonly undo: (cell: Cell, worker: string) => Promise<void>;
}

const NOTICES: readonly Notice[] = [
  {
    title: 'the worker itself',
    leave: async (cell, worker) => {
      await setState(cell, worker, 'leaving');
      return Date.now();
    },
    undo: (cell, worker) => setState(cell, worker, 'live'),
  },
  {
    title: 'the host list, which lags',
    leave: async (cell, worker) => {
      await callControlRoute(cell.hostList.url, 'PATCH', '/control/lag', { lagMs: LAG_MS });
      await cell.publishFleet({ leaving: [worker], immediate: false });
      return Date.now() + LAG_MS;
    },
    undo: (cell) => cell.publishFleet(),
  },
];

async function setState({ workers }: Cell, worker: string, state: string): Promise<void> {
  const url = workers.workers.find(({ id }) => id === worker)?.url ?? '';
  await callControlRoute(url, 'PATCH', '/control/settings', { state });
}

describe('control: leaving workers', () => {
  const cell = useCell();

  for (const { title, leave, undo } of NOTICES) {
    it(`get no new work seconds after the notice of ${title}`, async () => {
      await until('all workers take work', async () => {
        const rows = await cell().operator.workers();
        return rows.every(({ state }) => state === 'live');
      });
      const [worker] = cell().workers.workers;
      const id = worker?.id ?? '';
      const load = startLoad(() => cell().hosts, 16, {
        entry: 'lookup',
        key: TEAM_KEY,
        input: { runMs: 10 },
      });
      const submitJob = (index: number) =>
        submit(cell().hosts[index % cell().hosts.length] ?? { url: '' }, {
          entry: 'batch',
          key: TEAM_KEY,
          wait: true,
          input: { runMs: 1200 },
        });
      const jobs = Array.from({ length: JOBS }, (_, index) => submitJob(index));
      const runsThere = async () => (await readRuns(cell())).filter((run) => run.worker === id);
      // Packing fills some workers first and may leave this one empty, so the supply goes on.
      await until('a job runs on the worker', async () => {
        const runs = await runsThere();
        if (runs.some(({ end, entry }) => entry === 'batch' && end === undefined)) return true;
        jobs.push(submitJob(jobs.length));
        return false;
      });
      const noticeAt = await leave(cell(), id);
      const running = (await runsThere()).filter(({ end }) => end === undefined);
      await until('the worker is empty for as long as the bound', async () => {
        const ends = (await runsThere()).map(({ end }) => end ?? Infinity);
        return Date.now() - Math.max(noticeAt, ...ends) > MAX_NOTICE_MS / 2;
      });
      await load.stop();
      const answers = await Promise.all(jobs);
      const runs = await runsThere();
      await undo(cell(), id);
      const lastStart = Math.max(...runs.map(({ start }) => start));
      report(`${title}: last start ${String(lastStart - noticeAt)} ms after the notice`);
      expect(lastStart - noticeAt).to.be.lessThan(MAX_NOTICE_MS);
      const outcomes = running.map(({ task }) => runs.find((run) => run.task === task)?.outcome);
      expect(outcomes).to.deep.equal(running.map(() => 'answered'));
      expect(answers.map(({ status }) => status)).to.deep.equal(jobs.map(() => 200));
    });
  }
});
