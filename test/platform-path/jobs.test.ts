/**
 * End-to-end tests over the platform's protocol, from the submission of a job to its reported end.
 */
import { expect } from 'chai';
import {
  awaitState,
  eventually,
  expectDefined,
  newJobId,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { TestCell } from './support.js';

/** The platform allows 2 s; changes of workers' entries are batched for 150 ms. */
const LEAVING_PROPAGATION_MS = 400;

describe('jobs on the platform', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 2, workers: 3 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  describe('a job of dependent steps', () => {
    it('runs the steps in order and is completed after the last', async () => {
      const host = expectDefined(cell.hosts[0]);
      const { id, answer } = await submit(host, {
        steps: [{ count: 3 }, { count: 2, after: [0] }],
      });
      expect(answer.kind).to.equal('accepted');
      await awaitState(host, id, 'completed');
      const starts = startsOf(cell, id);
      expect(starts).to.have.length(5);
      const lastOfFirst = Math.max(
        ...starts.filter(({ task }) => task.startsWith(`${id}.0.0.`)).map(({ at }) => at),
      );
      const firstOfSecond = Math.min(
        ...starts.filter(({ task }) => task.startsWith(`${id}.0.1.`)).map(({ at }) => at),
      );
      expect(firstOfSecond).to.be.greaterThan(lastOfFirst);
    });
  });

  describe('a gang', () => {
    it('starts all members under one run number', async () => {
      const host = expectDefined(cell.hosts[0]);
      const { id } = await submit(host, { steps: [{ count: 5, cpu: 2000, gang: true }] });
      await awaitState(host, id, 'completed');
      expect(startsOf(cell, id).map(({ run }) => run)).to.deep.equal([1, 1, 1, 1, 1]);
    });
  });

  describe('the same id at two hosts', () => {
    it('remains one job', async () => {
      const first = expectDefined(cell.hosts[0]);
      const second = expectDefined(cell.hosts[1]);
      const id = newJobId();
      const answers = await Promise.all([submit(first, { id }), submit(second, { id })]);
      expect(answers.map(({ answer }) => answer.kind)).to.deep.equal(['accepted', 'accepted']);
      await awaitState(second, id, 'completed');
      expect(startsOf(cell, id)).to.have.length(1);
    });
  });

  describe('a job that has ended', () => {
    it('remains one job when its id is submitted again, and is known by its progress alone', async () => {
      const [first, second] = cell.hosts;
      const { id } = await submit(expectDefined(first));
      await awaitState(expectDefined(first), id, 'completed');
      // Takeovers read all job records, so those of ended jobs must not accumulate.
      expect(cell.store.items.list('jobs/', '', 10)).to.deep.equal([]);
      const again = await submit(expectDefined(second), { id });
      expect(again.answer.kind).to.equal('accepted');
      await awaitState(expectDefined(second), id, 'completed');
      expect(startsOf(cell, id)).to.have.length(1);
    });
  });

  describe('a cancelled job', () => {
    it('is stopped and reported as cancelled', async () => {
      const host = expectDefined(cell.hosts[0]);
      const worker = await cell.addWorker({ workMs: () => 60_000, processorMillis: 64_000 });
      const { id } = await submit(host, { steps: [{ cpu: 32_000 }] });
      await eventually(() => (worker.running.size > 0 ? true : undefined));
      const outcome = await host.service.cancel(id, performance.now() + 3000);
      expect(outcome).to.equal('cancelled');
      await awaitState(host, id, 'cancelled');
      await eventually(() => (worker.running.size === 0 ? true : undefined));
    });
  });

  describe('a job that always fails', () => {
    it('fails after its maximum number of attempts, each on a different worker', async () => {
      cell.configure({ version: 2, maxAttempts: 2 });
      const host = expectDefined(cell.hosts[0]);
      const failing = await Promise.all(
        [1, 2].map(() => cell.addWorker({ processorMillis: 64_000, outcome: () => 'failed' })),
      );
      const { id } = await submit(host, { steps: [{ cpu: 32_000 }] });
      await awaitState(host, id, 'failed');
      expect(
        startsOf(cell, id)
          .map(({ worker }) => worker)
          .sort(),
      ).to.deep.equal(failing.map(({ id: worker }) => worker));
    });
  });

  describe('a planned stop of the leader while a cancelled job is being stopped', () => {
    // The successor did not know the runs of the cancelled job, and the team had twice its limit running.
    it('keeps the team within its limit', async () => {
      const small = await startTestCell({ hosts: 2, workers: 0 });
      try {
        small.configure({ version: 2, cpuLimitMillicores: 2000 });
        for (let count = 0; count < 2; count += 1)
          await small.addWorker({ processorMillis: 2000, workMs: () => 5000, stopMs: 700 });
        const leader = await small.leader();
        const other = expectDefined(small.hosts.find((host) => host !== leader));
        const isCurrent = () =>
          small.hosts.every((host) => host.configuration.current?.configuration.version === 2);
        await eventually(() => (isCurrent() ? true : undefined));
        const countRunning = () =>
          small.workers.reduce((sum, { running }) => sum + running.size, 0);
        const first = await submit(leader, { steps: [{ count: 2, cpu: 1000 }] });
        await eventually(() => (countRunning() === 2 ? true : undefined));
        const second = await submit(leader, { steps: [{ count: 2, cpu: 1000 }] });
        await leader.service.cancel(first.id, performance.now() + 3000);
        await eventually(() =>
          leader.service
            .state(first.id)
            .then((state) => (state === 'cancelled' ? true : undefined)),
        );
        let mostRunning = 0;
        const sampler = setInterval(() => {
          mostRunning = Math.max(mostRunning, countRunning());
        }, 2);
        await new Promise((resolve) => setTimeout(resolve, 100));
        void leader.drain();
        await eventually(() => (startsOf(small, second.id).length === 2 ? true : undefined));
        await new Promise((resolve) => setTimeout(resolve, 50));
        clearInterval(sampler);
        expect(await small.leader()).to.equal(other);
        expect(mostRunning).to.equal(2);
      } finally {
        await small.close();
      }
    });
  });

  describe('a job whose queue is removed from the configuration for a while', () => {
    // Such a job counted as failed after its first failed run.
    it('keeps its number of attempts', async () => {
      const host = expectDefined(cell.hosts[0]);
      const failing = await cell.addWorker({
        processorMillis: 64_000,
        workMs: () => 400,
        outcome: () => 'failed',
      });
      const { id } = await submit(host, { steps: [{ cpu: 32_000 }] });
      await eventually(() => (failing.running.size > 0 ? true : undefined));
      cell.configure({ version: 2, queues: [{ name: 'other', priority: 0 }] });
      await eventually(() =>
        host.configuration.current?.configuration.version === 2 ? true : undefined,
      );
      await cell.addWorker({ processorMillis: 64_000 });
      await awaitState(host, id, 'completed');
    });
  });

  describe('a team at its limit', () => {
    it('never runs more tasks than the limit allows', async () => {
      cell.configure({ version: 2, cpuLimitMillicores: 2000 });
      const host = expectDefined(cell.hosts[0]);
      await eventually(() =>
        host.configuration.current?.configuration.version === 2 ? true : undefined,
      );
      let maxRunning = 0;
      const sampler = setInterval(() => {
        const running = cell.workers.reduce((sum, worker) => sum + worker.running.size, 0);
        maxRunning = Math.max(maxRunning, running);
      }, 2);
      const { id } = await submit(host, { steps: [{ count: 8, cpu: 1000 }] });
      await awaitState(host, id, 'completed');
      clearInterval(sampler);
      expect(maxRunning).to.be.within(1, 2);
    });
  });

  describe('the host that accepted a job', () => {
    it('is told its end, so that state queries need no read of the store', async () => {
      const leader = await cell.leader();
      const other = expectDefined(cell.hosts.find((host) => host !== leader));
      const { id } = await submit(other, { spec: 'short' });
      cell.rejectStoreCalls(other);
      await eventually(() => (startsOf(cell, id).length > 0 ? true : undefined));
      await awaitState(other, id, 'completed');
    });
  });

  describe('a withdrawn key', () => {
    it('is rejected although the host has not seen the change yet', async () => {
      const host = expectDefined(cell.hosts[0]);
      cell.configure({ version: 2, keys: ['another'] });
      const { answer } = await submit(host);
      expect(answer).to.deep.equal({ kind: 'denied', denial: 'unknown-key' });
    });
  });

  describe('a leaving worker', () => {
    it('gets no new work', async () => {
      const host = expectDefined(cell.hosts[0]);
      const leaving = expectDefined(cell.workers[0]);
      const others = cell.workers.slice(1);
      leaving.leave();
      await new Promise((resolve) => setTimeout(resolve, LEAVING_PROPAGATION_MS));
      const before = leaving.starts.length;
      const jobs = await Promise.all(Array.from({ length: 10 }, () => submit(host)));
      for (const { id } of jobs) await awaitState(host, id, 'completed');
      expect(leaving.starts.length).to.equal(before);
      expect(others.flatMap(({ starts }) => starts)).to.have.length(10);
    });
  });
});
