/** A forecast of runs on a clock of its own, with jobs whose tasks run on any worker. */
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createRun } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import { createRunForecast } from '../../src/controller/run-forecast.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createForecast } from '../../src/forecast/index.js';
import type { Step } from '../../src/jobs/index.js';
import { createProgress, openTask } from '../../src/jobs/index.js';
import { STEP } from '../jobs/support.js';
import { expectDefined } from '../platform-path/support.js';
import { createWorkerEntry } from './support.js';

const TERMS = { priority: 0, maxAttempts: 3, stretch: 1.5, targetLatencyMs: 250 };

export function createForecastCase() {
  const clock = { now: 10_000 };
  const now = () => clock.now;
  const forecast = createForecast({ now });
  const runForecast = createRunForecast({ forecast, now });
  const cell = createCell({ now, onStepSettled: () => undefined });
  let jobs = 0;

  function addJob(steps: readonly Partial<Step>[], queue = 'batch') {
    jobs += 1;
    const progress = createProgress({
      id: `job-${String(jobs)}`,
      team: 'lawns',
      queue,
      service: 'rota',
      spec: '',
      steps: steps.map((step) => ({ ...STEP, estimateMs: 1000, ...step })),
      acceptedAtMs: 5000,
      acceptedBy: 'h1',
      terms: TERMS,
    });
    const entry = createJobEntry({ progress, queue: undefined, beyondShare: false });
    cell.add(entry);
    return entry;
  }

  function sessionOf(id: string, rack = 'r1') {
    const worker = { ...createWorkerEntry(1), incarnation: { id, born: 1 }, rack };
    return { incarnation: worker.incarnation, worker, runs: new Map() } as unknown as WorkerSession;
  }

  /** A run that the worker has confirmed now. */
  function startRun(entry: ReturnType<typeof addJob>, session: WorkerSession, index = 0): Run {
    const { progress } = entry;
    const step = expectDefined(progress.occurrences.get(0)?.steps[0]);
    const task = expectDefined(openTask(step, index));
    task.worker = session.incarnation;
    const name = `${progress.job.id}.0.0.${String(index)}`;
    const run = createRun({ name, progress, step, task, session, inherited: false });
    session.runs.set(name, run);
    Object.assign(run, { status: 'running', startedAt: clock.now, progressedAt: clock.now });
    run.startedClockMs = clock.now;
    return run;
  }

  /** Ends a run that has taken so long on its worker's clock. */
  function end(run: Run, tookMs: number) {
    run.endedClockMs = expectDefined(run.startedClockMs) + tookMs;
    return runForecast.learnEnd(run);
  }

  /** Lets tasks of the queue end, alternately on two workers, after so many times their estimate. */
  function learnFactors(queue: string, factors: readonly number[]) {
    for (let number = 0; number < 100; number += 1) {
      clock.now += 100;
      for (const [worker, factor] of factors.entries()) {
        const session = sessionOf(`w${String(worker)}`);
        end(startRun(addJob([{ count: 1 }], queue), session), 1000 * factor);
      }
    }
  }

  const readyOf = (entry: ReturnType<typeof addJob>, step = 0) =>
    expectDefined(cell.ready.get(`${entry.progress.job.id}.0.${String(step)}`));

  return { clock, forecast, runForecast, addJob, sessionOf, startRun, end, learnFactors, readyOf };
}
