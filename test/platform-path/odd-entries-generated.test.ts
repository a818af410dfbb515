/**
 * Guards against an entry of another writer that ends a reader or hides other entries, with generated entries under
 * every prefix that hosts read.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { createJobEntry } from '../../src/controller/cell.js';
import {
  createProgress,
  listWaitingTasks,
  openAllTasks,
  decodeJob,
  decodeProgress,
  encodeJob,
  encodeProgress,
  restoreProgress,
} from '../../src/jobs/index.js';
import type { Job } from '../../src/jobs/index.js';
import { findQueue, findTeamByKey } from '../../src/queues/index.js';
import { decodeConfiguration } from '../../platform/decode-configuration.js';
import { decodeJob as decodeSubmission } from '../../platform/decode-job.js';
import { decodeWorker } from '../../platform/decode-worker.js';
import { createWorkerConnection } from '../../platform/worker-client.js';
import { STEP } from '../jobs/support.js';
import { oddName, oddText } from './odd-entry-generator.js';
import {
  awaitState,
  createConfigurationJson,
  eventually,
  expectDefined,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { TestCell } from './support.js';

const SEED = Number(process.env.SEED ?? 20_261_205);

const WORKER = {
  service: 'rota',
  address: '10.0.0.9:9100',
  zone: 'dc1',
  version: '2',
  capacity: 8,
  state: 'ready',
  'cold-remaining-ms': 0,
  'drain-remaining-ms': 2000,
  'free-capacity': { cpu: 64_000, 'mem-mb': 65_536, gpu: 1 },
  labels: ['a', 'r1-3'],
  born: 1_790_000_000_000,
  sequence: 1,
};
const JOB: Job = {
  id: '00000000000000aa',
  team: 'lawns',
  queue: 'lookups',
  service: 'rota',
  spec: 'text',
  steps: [{ ...STEP, count: 2 }],
  acceptedAtMs: 1,
  acceptedBy: 'host-1',
};
const SUBMISSION = {
  spec: 's',
  steps: [{ count: 2, cpu: 500, 'mem-mb': 256, 'estimate-ms': 5, after: [], labels: ['x'] }],
  'start-at-ms': 0,
  'interval-ms': 1000,
  repetitions: 2,
};

function recordOf(job: Job): object {
  const progress = createProgress(job);
  const step = expectDefined(progress.occurrences.get(0)?.steps[0]);
  for (const task of openAllTasks(step)) {
    task.run = 1;
    task.worker = { id: 'w-1', born: 1 };
  }
  return JSON.parse(encodeProgress(progress)) as object;
}

describe('generated entries of another writer', () => {
  function check(sound: object, numRuns: number, read: (text: string, name: string) => void) {
    fc.assert(fc.property(oddText(sound), oddName, read), { seed: SEED, numRuns });
  }

  describe('to the decoders', () => {
    it('of workers name a worker that can be called, or none', () => {
      check(WORKER, 400, (text, name) => {
        const worker = decodeWorker(`servers/${name}`, text);
        if (worker === undefined) return;
        createWorkerConnection(worker.address, worker.incarnation).close();
        expect(Number.isSafeInteger(worker.incarnation.born)).to.equal(true);
        for (const amount of Object.values(worker.room) as number[]) {
          expect(amount).to.be.within(0, Number.MAX_SAFE_INTEGER);
        }
      });
    });

    it('of jobs are jobs that a leader can take, or none', () => {
      check(JSON.parse(encodeJob(JOB)) as object, 400, (text) => {
        const job = decodeJob(text);
        if (job === undefined) return;
        const progress = createProgress(job);
        createJobEntry({ progress, queue: undefined, beyondShare: false });
        expect(decodeProgress(encodeProgress(progress))).to.not.equal(undefined);
      });
    });

    // Spreading the list as arguments threw, so no leader took the job or, before that, any job after it.
    it('of jobs may name an earlier step very often', () => {
      const steps = [STEP, { ...STEP, after: Array<number>(130_000).fill(0) }];
      const progress = createProgress(expectDefined(decodeJob(encodeJob({ ...JOB, steps }))));
      createJobEntry({ progress, queue: undefined, beyondShare: false });
    });

    it('of progress leave a job whose counts are right', () => {
      check(recordOf(JOB), 400, (text) => {
        const record = decodeProgress(text);
        if (record === undefined) return;
        const progress = createProgress(JOB);
        restoreProgress(progress, record);
        for (const step of [...progress.occurrences.values()].flatMap(({ steps }) => steps)) {
          const tasks = [...step.tasks.values()];
          const done = step.done.reduce((sum, [first, last]) => sum + last - first + 1, 0);
          expect(step.waitingCount).to.equal(listWaitingTasks(step).length);
          expect(step.doneCount).to.equal(done);
          expect(step.waitingCount + done).to.equal(
            step.step.count - tasks.filter(({ phase }) => phase === 'placed').length,
          );
          expect(tasks.every(({ run }) => Number.isSafeInteger(run))).to.equal(true);
        }
        encodeProgress(progress);
      });
    });

    it('of configurations are a configuration, or none', () => {
      check(JSON.parse(createConfigurationJson()) as object, 400, (text) => {
        const configuration = decodeConfiguration(text);
        if (configuration === undefined) return;
        findQueue(configuration, 'lawns.example', '/lookups/');
        findTeamByKey(configuration, 'key');
      });
    });

    it('of submissions are a job that a leader can take, or a refusal', () => {
      check(SUBMISSION, 400, (text) => {
        const submission = decodeSubmission(text);
        if (submission.isErr()) return;
        for (const { size } of submission.value.steps) {
          for (const amount of Object.values(size) as number[]) expect(amount).to.be.at.least(0);
        }
        const job = decodeJob(encodeJob({ ...JOB, ...submission.value }));
        createProgress(expectDefined(job));
      });
    });
  });

  describe('in the store of a cell', () => {
    let cell: TestCell;

    beforeEach(async () => {
      cell = await startTestCell({ hosts: 2, workers: 2 });
      await cell.leader();
      await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    });

    afterEach(async () => {
      await cell.close();
    });

    const prefixes: readonly (readonly [string, object])[] = [
      ['servers/', WORKER],
      ['jobs/', JSON.parse(encodeJob(JOB)) as object],
      ['progress/', recordOf(JOB)],
      ['cancelled/', { job: JOB.id }],
      ['leadership/', { host: 'host-9', address: '10.0.0.9:9100', epoch: 1 }],
    ];
    for (const [prefix, sound] of prefixes) {
      it(`under ${prefix} hide no worker and no job`, async () => {
        const entries = fc.sample(fc.tuple(oddName, oddText(sound)), { seed: SEED, numRuns: 80 });
        for (const [name, text] of entries) {
          const value = Buffer.from(text).toString('base64');
          cell.store.items.apply([{ key: `${prefix}${name}`, value, lease: 0 }], []);
        }
        await expectPlacementOnReadyWorkers();
        cell.kill(await cell.leader());
        const survivor = expectDefined(cell.hosts[0]);
        const { id } = await submit(survivor);
        await awaitState(survivor, id, 'completed');
      });
    }

    // LOST: such a job fits into a request, and no successor finished restoring beside it.
    it('do not include a job that names an earlier step very often', async () => {
      const leader = await cell.leader();
      const steps = [{}, { after: Array<number>(130_000).fill(0) }];
      const { id } = await submit(leader, { steps });
      cell.kill(leader);
      const survivor = expectDefined(cell.hosts[0]);
      const next = await submit(survivor);
      await awaitState(survivor, next.id, 'completed');
      await awaitState(survivor, id, 'completed');
    });

    async function expectPlacementOnReadyWorkers() {
      const [leaving] = cell.workers;
      leaving?.leave();
      const added = await cell.addWorker({ processorMillis: 64_000 });
      await new Promise((resolve) => setTimeout(resolve, 1000));
      const host = expectDefined(cell.hosts[0]);
      const large = await submit(host, { steps: [{ cpu: 64_000 }] });
      await awaitState(host, large.id, 'completed');
      expect(startsOf(cell, large.id).map(({ worker }) => worker)).to.deep.equal([added.id]);
      const { id } = await submit(host, { steps: [{ count: 6 }] });
      await awaitState(host, id, 'completed');
      expect(startsOf(cell, id).map(({ worker }) => worker)).to.not.include(leaving?.id);
    }
  });
});
