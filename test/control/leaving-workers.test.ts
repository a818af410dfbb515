/**
 * Guarantee 8: a leaving worker gets no new work after a few seconds, and its running tasks finish.
 */
import { expect } from 'chai';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  eventually,
  readRuns,
  reportFigure,
  startLoad,
  submit,
  TEAM_KEY,
  useCell,
  type Cell,
} from './support.js';

const MAX_NOTICE_MS = 3000;
const HOST_LIST_LAG_MS = 500;
const JOB_COUNT = 24;

interface LeaveNotice {
  readonly title: string;
  /** Makes the worker leave; resolves with the time from which the bound is measured. */
  readonly leave: (cell: Cell, worker: string) => Promise<number>;
  readonly undo: (cell: Cell, worker: string) => Promise<void>;
}

const NOTICES: readonly LeaveNotice[] = [
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
      await callControlRoute(cell.hostList.url, 'PATCH', '/control/lag', {
        lagMs: HOST_LIST_LAG_MS,
      });
      await cell.publishFleet({ leaving: [worker], immediate: false });
      return Date.now() + HOST_LIST_LAG_MS;
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
      await eventually('all workers take work', async () => {
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
      const jobs = Array.from({ length: JOB_COUNT }, (_, index) => submitJob(index));
      const readWorkerRuns = async () =>
        (await readRuns(cell())).filter((run) => run.worker === id);
      // Packing fills some workers first and may leave this one empty, so jobs are submitted until one runs on it.
      await eventually('a job runs on the worker', async () => {
        const runs = await readWorkerRuns();
        if (runs.some(({ end, entry }) => entry === 'batch' && end === undefined)) return true;
        jobs.push(submitJob(jobs.length));
        return false;
      });
      const noticeAt = await leave(cell(), id);
      const running = (await readWorkerRuns()).filter(({ end }) => end === undefined);
      await eventually('the worker has been idle for half of the bound', async () => {
        const ends = (await readWorkerRuns()).map(({ end }) => end ?? Infinity);
        return Date.now() - Math.max(noticeAt, ...ends) > MAX_NOTICE_MS / 2;
      });
      await load.stop();
      const answers = await Promise.all(jobs);
      const runs = await readWorkerRuns();
      await undo(cell(), id);
      const lastStart = Math.max(...runs.map(({ start }) => start));
      reportFigure(`${title}: last start ${String(lastStart - noticeAt)} ms after the notice`);
      expect(lastStart - noticeAt).to.be.lessThan(MAX_NOTICE_MS);
      const outcomes = running.map(({ task }) => runs.find((run) => run.task === task)?.outcome);
      expect(outcomes).to.deep.equal(running.map(() => 'answered'));
      expect(answers.map(({ status }) => status)).to.deep.equal(jobs.map(() => 200));
    });
  }
});
