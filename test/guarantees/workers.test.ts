/**
 * Guarantees 1, 2, 5, 6 and 7 while workers fail, and for cancelled jobs and jobs that fit no worker.
 */
import { expect } from 'chai';
import type { Cell } from '../../stand-ins/cell.js';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  call,
  checkGuarantees,
  eventually,
  readWorkerRecords,
  runLoad,
  setWorkerSettings,
  startTestCell,
  submit,
  TIMERS,
} from './support.js';

const HEALTHY_SETTINGS = {
  frozen: false,
  failAll: false,
  cutAnswers: 0,
  crossAnswers: 0,
  answerDelayMs: 0,
  usageFactor: 1,
  reportLagMs: 0,
};
const LONG_ANSWER_BYTES = 20_000;

describe('guarantees while workers fail', function () {
  this.timeout(60_000);
  let cell: Cell;

  before(async () => {
    cell = await startTestCell([2, 1]);
  });

  after(() => cell.stop());

  async function freezePastLease(ids: readonly string[]): Promise<void> {
    await setWorkerSettings(cell, { frozen: true }, ids);
    const since = Date.now();
    await eventually('the leases have expired', () => Date.now() > since + 2 * TIMERS.leaseMs);
    await setWorkerSettings(cell, { frozen: false }, ids);
  }

  async function reboot(id: string): Promise<void> {
    const worker = cell.workers.workers.find((candidate) => candidate.id === id);
    await callControlRoute(worker?.url ?? '', 'POST', '/control/reboot');
  }

  const cases: readonly {
    readonly name: string;
    readonly seed: number;
    readonly inject: () => Promise<unknown>;
  }[] = [
    {
      name: 'a worker freezes until its leases have expired and resumes',
      seed: 301,
      inject: () => freezePastLease(['dc1a']),
    },
    {
      name: 'a worker fails every task',
      seed: 302,
      inject: () => setWorkerSettings(cell, { failAll: true }, ['dc1a']),
    },
    {
      name: 'workers truncate answers',
      seed: 303,
      inject: () => setWorkerSettings(cell, { cutAnswers: 8 }),
    },
    {
      name: 'workers answer late',
      seed: 304,
      inject: () => setWorkerSettings(cell, { answerDelayMs: 300 }),
    },
    {
      name: 'workers swap the answers of two tasks',
      seed: 305,
      inject: () => setWorkerSettings(cell, { crossAnswers: 8 }),
    },
    {
      name: 'workers delay, swap and truncate answers',
      seed: 306,
      inject: () => setWorkerSettings(cell, { answerDelayMs: 100, crossAnswers: 4, cutAnswers: 4 }),
    },
    { name: 'a worker reboots', seed: 307, inject: () => reboot('dc1a') },
    {
      name: 'a worker reboots while another one is frozen',
      seed: 308,
      inject: () => Promise.all([reboot('dc1a'), freezePastLease(['dc1b'])]),
    },
    {
      name: 'tasks use ten times their declared size and reports are late',
      seed: 309,
      inject: () => setWorkerSettings(cell, { usageFactor: 10, reportLagMs: 800 }),
    },
    {
      name: 'tasks use a tenth of their declared size and reports are late',
      seed: 310,
      inject: () => setWorkerSettings(cell, { usageFactor: 0.1, reportLagMs: 800 }),
    },
  ];

  for (const { name, seed, inject } of cases) {
    it(name, async () => {
      const attempts = await runLoad(cell, {
        seed,
        count: 80,
        concurrency: 20,
        padding: LONG_ANSWER_BYTES,
        inject,
        heal: () => setWorkerSettings(cell, HEALTHY_SETTINGS),
      });
      const { done, requests } = await checkGuarantees(cell, attempts);
      expect(done, 'requests that were answered').to.be.greaterThan(requests / 2);
    });
  }

  it('a wave of cancellations stops running jobs and reports only unstarted ones as cancelled', async () => {
    const hosts = cell.hosts;
    const targets = Array.from({ length: 40 }, () => hosts).flat();
    const jobs = await Promise.all(
      targets.map((host) => submit(host, { entry: 'batch', runMs: 500, wait: false })),
    );
    const ids = jobs.flatMap((job) => (job.result === 'accepted' ? [job.id] : []));
    expect(ids.length, 'accepted jobs').to.be.greaterThan(targets.length / 2);
    const targetAfter = (index: number) =>
      targets[index + 1] ?? targets[0] ?? expect.fail('no host');
    const answers = await Promise.all(
      ids.map(
        async (id, index) => (await call(targetAfter(index), `/v1/requests/${id}`, 'DELETE')).body,
      ),
    );
    await eventually('every job has ended', async () => {
      const states = await Promise.all(
        ids.map((id, index) => call(targetAfter(index), `/v1/requests/${id}`)),
      );
      return states.every(({ status }) => status !== 202);
    });
    const records = await readWorkerRecords(cell);
    expect(records.violations).to.deep.equal([]);
    const falselyCancelled = ids.filter((id, index) => {
      return answers[index]?.includes('"cancelled"') && records.runs(id).length > 0;
    });
    expect(
      falselyCancelled,
      'jobs that ran although they were reported as cancelled',
    ).to.deep.equal([]);
    expect(answers.filter((answer) => answer.includes('"cancelled"'))).to.not.have.length(0);
    expect(ids.filter((id) => records.runs(id).length > 1)).to.deep.equal([]);
  });

  it('a job that fits no worker is refused at every host and never runs', async () => {
    const attempts = await Promise.all(
      cell.hosts.map((host) => submit(host, { entry: 'huge', wait: false })),
    );
    for (const { result, body } of attempts) {
      expect(result).to.equal('refused');
      expect(body).to.include('never-fits');
    }
    await checkGuarantees(cell, attempts);
  });
});
