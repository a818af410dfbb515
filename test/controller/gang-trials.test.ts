/**
 * What the ends of a gang say about the workers that ran it.
 */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createJobLifecycle } from '../../src/controller/job-lifecycle.js';
import { createRun } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createProgress, openAllTasks, setPhase } from '../../src/jobs/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerHealth } from '../../src/planner/index.js';
import { STEP } from '../jobs/support.js';

const WORKERS = ['w1', 'w2', 'w3'];

/** A running gang with a member on each worker, all of which are on trial. */
function createCase() {
  let now = 0;
  const health = createWorkerHealth({ now: () => now });
  for (const worker of WORKERS) health.exclude(worker);
  now = 60_000;
  const cell = createCell({ now: () => now, onStepSettled: () => undefined });
  const lifecycle = createJobLifecycle({
    cell,
    health,
    events: SILENT_EVENTS,
    maxAttempts: () => 3,
    write: () => Promise.resolve(true),
    onEnded: () => undefined,
    onChange: () => undefined,
    now: () => now,
  });
  const progress = createProgress({
    id: 'job',
    team: 'lawns',
    queue: 'seasons',
    service: 'rota',
    spec: 'text',
    steps: [{ ...STEP, count: WORKERS.length, gang: true }],
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  });
  cell.add(createJobEntry({ progress, queue: undefined, beyondShare: false }));
  const [step] = progress.occurrences.get(0)?.steps ?? [];
  if (step === undefined) throw new Error('the job has no step');
  const runs = openAllTasks(step).map((task) => {
    const incarnation = { id: WORKERS[task.index] ?? '', born: 1 };
    task.run = 1;
    setPhase(step, task, 'placed');
    const session = { incarnation, stop: () => undefined } as unknown as WorkerSession;
    const name = `job.0.0.${String(task.index)}`;
    const run = createRun({ name, progress, step, task, session, inherited: false });
    lifecycle.registerRun(run);
    return run;
  });
  return { health, lifecycle, runs, progress };
}

describe('the trial of workers with a gang', () => {
  // The first end completed the job, and the other workers stayed on trial.
  it('ends on all of them when it is done', async () => {
    const { health, lifecycle, runs, progress } = createCase();
    for (const run of runs) await lifecycle.applyEnd(run, 'done', '');
    expect(progress.state).to.equal('completed');
    expect(WORKERS.map((worker) => health.statusOf(worker))).to.deep.equal(
      WORKERS.map(() => 'trusted'),
    );
  });

  it('fails only on the worker whose member failed', async () => {
    const { health, lifecycle, runs } = createCase();
    for (const [index, run] of runs.entries())
      await lifecycle.applyEnd(run, index === 0 ? 'failed' : 'broken', '');
    expect(WORKERS.map((worker) => health.statusOf(worker))).to.deep.equal([
      'avoided',
      'trial',
      'trial',
    ]);
  });
});
