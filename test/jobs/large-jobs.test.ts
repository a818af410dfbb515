/**
 * Guards against a job that exhausts the memory of each leader in turn, or whose record the store refuses for ever: what
 * it costs must depend on its steps and on what runs, not on the tasks that wait or are done.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import {
  countOpenTasks,
  createProgress,
  decodeProgress,
  encodeProgress,
  findExcess,
  listWaitingTasks,
  MAX_OPEN_TASKS,
  MAX_STEP_TASKS,
  openTask,
  restoreProgress,
  setDone,
  setPhase,
} from '../../src/jobs/index.js';
import type { Job, JobProgress, Step } from '../../src/jobs/index.js';
import { expectDefined } from '../platform-path/support.js';
import { STEP } from './support.js';

const SEED = 20_261_206;
/** Bytes of one value of the store. */
const VALUE_BYTES = 1_048_576;

function createJob(steps: readonly Step[]): Job {
  return {
    id: 'a1',
    team: 'lawns',
    queue: 'lookups',
    service: 'rota',
    spec: 'x',
    steps,
    acceptedAtMs: 1000,
    acceptedBy: 'host-1',
  };
}

const stepsOf = (progress: JobProgress) => expectDefined(progress.occurrences.get(0)).steps;

function restore(text: string, job: Job): JobProgress {
  const progress = createProgress(job);
  restoreProgress(progress, expectDefined(decodeProgress(text)));
  return progress;
}

type Change = 'place' | 'return' | 'fail' | 'finish';

/** Applies a change to a task as the leader does. */
function applyChange(progress: JobProgress, step: number, index: number, change: Change) {
  const state = expectDefined(stepsOf(progress)[step]);
  const task = openTask(state, index);
  if (task === undefined) return;
  if (change === 'place' && task.phase === 'waiting') {
    task.run += 1;
    task.worker = { id: 'w-1', born: 7 };
    setPhase(state, task, 'placed');
    return;
  }
  if (task.phase !== 'placed') return;
  task.worker = undefined;
  if (change === 'fail') {
    task.failures += 1;
    task.failedOn.push('w-1');
  }
  setPhase(state, task, change === 'finish' ? 'done' : 'waiting');
}

describe('a job with many tasks', () => {
  // 240 steps of 10,000 tasks took 300 MB, and the process of each leader ended.
  it('takes up memory for its steps alone while its tasks wait', () => {
    const steps = Array.from({ length: 240 }, (_, index) => ({
      ...STEP,
      count: MAX_STEP_TASKS,
      after: index === 0 ? [] : [index - 1],
    }));
    const before = process.memoryUsage().heapUsed;
    const progress = createProgress(createJob(steps));
    const grown = process.memoryUsage().heapUsed - before;
    expect(grown).to.be.lessThan(20_000_000);
    expect(expectDefined(stepsOf(progress)[239]).waitingCount).to.equal(MAX_STEP_TASKS);
  });

  it('takes up memory for its steps alone when its tasks are done', () => {
    const progress = createProgress(createJob([{ ...STEP, count: MAX_STEP_TASKS }]));
    const [step] = stepsOf(progress);
    if (step === undefined) throw new Error('the job has no step');
    for (const index of listWaitingTasks(step)) {
      applyChange(progress, 0, index, 'place');
      applyChange(progress, 0, index, 'finish');
    }
    expect({ entries: step.tasks.size, spans: step.done.length }).to.deep.equal({
      entries: 0,
      spans: 1,
    });
    expect(step.doneCount).to.equal(MAX_STEP_TASKS);
  });

  // A record above the limit of a value is refused for ever, and with it those of the same transaction.
  it('has a record that fits into one value, however many of its tasks are open and done', () => {
    const createSteps = (length: number) =>
      Array.from({ length }, () => ({ ...STEP, count: MAX_STEP_TASKS }));
    let length = 30_000;
    while (findExcess(createJob(createSteps(length))) !== undefined) length -= 100;
    const progress = createProgress(createJob(createSteps(length)));
    for (const step of stepsOf(progress).slice(1)) setDone(step, [0, MAX_STEP_TASKS - 1]);
    for (let index = 0; index < MAX_OPEN_TASKS; index += 1) {
      const task = expectDefined(openTask(expectDefined(stepsOf(progress)[0]), index));
      Object.assign(task, {
        run: 4,
        failures: 2,
        checkpoint: '00000bb87a21d94b',
        worker: { id: 'i-0123456789', born: 1_796_592_548_590 },
        failedOn: ['i-0123456789', 'i-9876543210'],
      });
      setPhase(expectDefined(stepsOf(progress)[0]), task, 'placed');
    }
    expect(encodeProgress(progress).length).to.be.lessThan(VALUE_BYTES);
  });

  it('is restored as its record was written, whatever has happened to its tasks', () => {
    const changes = fc.array(
      fc.tuple(
        fc.nat({ max: 2 }),
        fc.nat({ max: 29 }),
        fc.constantFrom<Change>('place', 'place', 'return', 'fail', 'finish', 'finish'),
      ),
      { maxLength: 200 },
    );
    const doneBefore = fc.nat({ max: 800 });
    const job = createJob([
      { ...STEP, count: 30 },
      { ...STEP, count: 30 },
      { ...STEP, count: 1000 },
    ]);
    fc.assert(
      fc.property(changes, doneBefore, (drawn, done) => {
        const progress = createProgress(job);
        // Enough done tasks are recorded in another form.
        if (done > 0) setDone(expectDefined(stepsOf(progress)[2]), [100, 99 + done]);
        for (const [step, index, change] of drawn) applyChange(progress, step, index, change);
        const restored = restore(encodeProgress(progress), job);
        expect(countOpenTasks(restored)).to.be.at.most(countOpenTasks(progress));
        for (const [number, step] of stepsOf(progress).entries()) {
          const other = expectDefined(stepsOf(restored)[number]);
          expect(other.done).to.deep.equal(step.done);
          expect(other.doneCount).to.equal(step.doneCount);
          expect(other.waitingCount).to.equal(step.waitingCount);
          expect(listWaitingTasks(other)).to.deep.equal(listWaitingTasks(step));
          const touched = [...step.tasks.values()].filter(({ run }) => run > 0);
          expect([...other.tasks.values()].filter(({ run }) => run > 0)).to.deep.equal(touched);
        }
      }),
      { seed: SEED, numRuns: 300 },
    );
  });
});

describe('a job that can never be served', () => {
  const cases: readonly [string, Job][] = [
    ['more steps than a leader can hold', createJob(Array.from({ length: 30_000 }, () => STEP))],
    [
      'more dependencies than a leader can hold',
      createJob([STEP, { ...STEP, after: Array<number>(500_000).fill(0) }]),
    ],
    ['a gang that is too large', createJob([{ ...STEP, gang: true, count: MAX_OPEN_TASKS + 1 }])],
    [
      'too many long-running tasks',
      createJob(
        [STEP, STEP].map((step) => ({ ...step, longRunning: true, count: MAX_OPEN_TASKS })),
      ),
    ],
  ];
  for (const [what, job] of cases) {
    it(`has ${what}`, () => {
      expect(findExcess(job)).to.not.equal(undefined);
    });
  }

  it('is none of the size that the sites have', () => {
    const steps = [STEP, { ...STEP, count: 60, gang: true }, { ...STEP, count: MAX_STEP_TASKS }];
    expect(findExcess(createJob(steps))).to.equal(undefined);
  });
});
