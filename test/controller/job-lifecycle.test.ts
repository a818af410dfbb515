/**
 * Guards against ends that a worker may drop before the leader's record of them is durable. A successor then finds
 * neither the run nor its end and starts the task again.
 */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createJobLifecycle } from '../../src/controller/job-lifecycle.js';
import { createRun } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress, openAllTasks, setPhase } from '../../src/jobs/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerHealth } from '../../src/planner/index.js';
import { STEP } from '../jobs/support.js';

/** A job of one gang of two tasks with a run each, and a store that answers only when told. */
function createGang({ longRunning = false } = {}) {
  const progress = createProgress({
    id: 'job',
    team: 'lawns',
    queue: 'season',
    service: 'rota',
    spec: 'text',
    steps: [{ ...STEP, count: 2, gang: true, longRunning }],
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  });
  const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
  cell.add(createJobEntry({ progress, queue: undefined, beyondShare: false }));
  let confirmWrites: (durable: boolean) => void = () => undefined;
  const written = new Promise<boolean>((resolve) => {
    confirmWrites = resolve;
  });
  const lifecycle = createJobLifecycle({
    cell,
    health: createWorkerHealth({ now: () => 0 }),
    events: SILENT_EVENTS,
    maxAttempts: () => 1,
    write: () => written,
    onEnded: () => undefined,
    onChange: () => undefined,
    now: () => 0,
  });
  const step = progress.occurrences.get(0)?.steps[0];
  if (step === undefined) throw new Error('the job has no step');
  const stopped: string[] = [];
  const runs = openAllTasks(step).map((task): Run => {
    task.run = 1;
    setPhase(step, task, 'placed');
    const session = {
      incarnation: { id: `w${String(task.index)}`, born: 1 },
      stop: ({ name }: Run) => stopped.push(name),
    } as unknown as WorkerSession;
    const name = `job.0.0.${String(task.index)}`;
    const run = createRun({ name, progress, step, task, session, inherited: false });
    lifecycle.registerRun(run);
    return run;
  });
  return { progress, step, lifecycle, runs, stopped, confirmWrites };
}

/** Whether the promise is settled once all pending microtasks have run. */
async function isSettled(promise: Promise<unknown>): Promise<boolean> {
  let settled = false;
  void promise.finally(() => {
    settled = true;
  });
  await new Promise((resolve) => setImmediate(resolve));
  return settled;
}

describe('job lifecycle', () => {
  describe('ends of a gang while the store is away', () => {
    for (const end of ['done', 'failed'] as const) {
      // Guards against a gang that starts again because members' ends were acknowledged before its end was durable.
      it(`are durable only with the record of the job, whose members ended ${end}`, async () => {
        const { lifecycle, runs, confirmWrites } = createGang();
        const ends = runs.map((run) => lifecycle.applyEnd(run, end, ''));
        expect(await Promise.all(ends.map(isSettled))).to.deep.equal([false, false]);
        confirmWrites(true);
        expect(await Promise.all(ends)).to.deep.equal([true, true]);
      });
    }

    it('are never durable once the leader has lost its term', async () => {
      const { lifecycle, runs, confirmWrites } = createGang();
      const ends = runs.map((run) => lifecycle.applyEnd(run, 'done', ''));
      confirmWrites(false);
      expect(await Promise.all(ends)).to.deep.equal([false, false]);
    });
  });

  describe('ends of a long-running gang', () => {
    // Guards against a long-running gang that is given up, and its job shown as failed, after some failures of members.
    it('make all members wait again after a failure, however often they have failed', () => {
      const { progress, step, lifecycle, runs } = createGang({ longRunning: true });
      for (const [index, run] of runs.entries()) {
        void lifecycle.applyEnd(run, index === 0 ? 'failed' : 'broken', '');
      }
      expect(progress.state).to.not.equal('failed');
      expect(step.waitingCount).to.equal(2);
    });

    // Guards against a long-running gang that is never started again, and its job shown as completed, after a member is done.
    it('make all members wait again after one of them is done', () => {
      const { progress, step, lifecycle, runs, stopped } = createGang({ longRunning: true });
      for (const [index, run] of runs.entries()) {
        void lifecycle.applyEnd(run, index === 0 ? 'done' : 'stopped', '');
        if (index === 0) expect(stopped).to.deep.equal(['job.0.0.1']);
      }
      expect(progress.state).to.not.equal('completed');
      expect(step.waitingCount).to.equal(2);
    });
  });
});
