/**
 * Guarantees 1, 2, 5, 6 and 7 while workers fail, and under cancellations and jobs that never fit.
 */
import { expect } from 'chai';
import type { Cell } from '../../stand-ins/cell.js';
import { callControlRoute } from '../../stand-ins/control.js';
import {
  TIMERS,
  call,
  eventually,
  judge,
  readEvidence,
  runLoad,
  setWorkers,
  startTestCell,
  submit,
} from './support.js';

const HEALTHY = {
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
    await setWorkers(cell, { frozen: true }, ids);
    const since = Date.now();
    await eventually('the leases have expired', () => Date.now() > since + 2 * TIMERS.leaseMs);
    await setWorkers(cell, { frozen: false }, ids);
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
      name: 'a worker freezes past its leases and goes on',
      seed: 301,
      inject: () => freezePastLease(['dc1a']),
    },
    {
      name: 'a worker fails everything that it starts',
      seed: 302,
      inject: () => setWorkers(cell, { failAll: true }, ['dc1a']),
    },
    {
      name: 'workers cut answers short',
      seed: 303,
      inject: () => setWorkers(cell, { cutAnswers: 8 }),
    },
    {
      name: 'workers answer late',
      seed: 304,
      inject: () => setWorkers(cell, { answerDelayMs: 300 }),
    },
    {
      name: 'workers cross the answers of two tasks',
      seed: 305,
      inject: () => setWorkers(cell, { crossAnswers: 8 }),
    },
    {
      name: 'workers answer late, crossed and cut',
      seed: 306,
      inject: () => setWorkers(cell, { answerDelayMs: 100, crossAnswers: 4, cutAnswers: 4 }),
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
      inject: () => setWorkers(cell, { usageFactor: 10, reportLagMs: 800 }),
    },
    {
      name: 'tasks use a tenth of their declared size and reports are late',
      seed: 310,
      inject: () => setWorkers(cell, { usageFactor: 0.1, reportLagMs: 800 }),
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
        heal: () => setWorkers(cell, HEALTHY),
      });
      const { done, requests } = await judge(cell, attempts);
      expect(done, 'requests that were answered').to.be.greaterThan(requests / 2);
    });
  }

  it('a wave of cancellations stops what runs and cancels only what did not start', async () => {
    const hosts = cell.hosts;
    const wave = Array.from({ length: 40 }, () => hosts).flat();
    const jobs = await Promise.all(
      wave.map((host) => submit(host, { entry: 'batch', runMs: 500, wait: false })),
    );
    const ids = jobs.flatMap((job) => (job.told === 'accepted' ? [job.id] : []));
    expect(ids.length, 'accepted jobs').to.be.greaterThan(wave.length / 2);
    const atAny = (index: number) => wave[index + 1] ?? wave[0] ?? expect.fail('no host');
    const answers = await Promise.all(
      ids.map(async (id, index) => (await call(atAny(index), `/v1/requests/${id}`, 'DELETE')).body),
    );
    await eventually('every job has ended', async () => {
      const states = await Promise.all(
        ids.map((id, index) => call(atAny(index), `/v1/requests/${id}`)),
      );
      return states.every(({ status }) => status !== 202);
    });
    const evidence = await readEvidence(cell);
    expect(evidence.violations).to.deep.equal([]);
    const untrue = ids.filter((id, index) => {
      return answers[index]?.includes('"cancelled"') && evidence.runs(id).length > 0;
    });
    expect(untrue, 'jobs that ran although they were cancelled before').to.deep.equal([]);
    expect(answers.filter((answer) => answer.includes('"cancelled"'))).to.not.have.length(0);
    expect(ids.filter((id) => evidence.runs(id).length > 1)).to.deep.equal([]);
  });

  it('a job that fits no worker is refused at every host and never runs', async () => {
    const attempts = await Promise.all(
      cell.hosts.map((host) => submit(host, { entry: 'huge', wait: false })),
    );
    for (const { told, body } of attempts) {
      expect(told).to.equal('refused');
      expect(body).to.include('never-fits');
    }
    await judge(cell, attempts);
  });
});
