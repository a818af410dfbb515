/** Guards against runs that are on a worker when it leaves, and count there until their leases have expired. */
import { expect } from 'chai';
import { createLeavingWorkers } from '../../src/controller/leaving-workers.js';
import type { LeavingWorkers } from '../../src/controller/leaving-workers.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createForecastCase } from './forecast-case.js';
import { eventually, pause } from './support.js';

/** More than the time between two checks. */
const CHECKED_MS = 500;

describe('workers that leave', () => {
  let leavingWorkers: LeavingWorkers | undefined;

  afterEach(() => {
    leavingWorkers?.close();
  });

  function createCase() {
    const forecastCase = createForecastCase();
    const { clock, runForecast, sessionOf } = forecastCase;
    const stopped: string[] = [];
    const workers = createLeavingWorkers({
      stop: ({ name }) => stopped.push(name),
      expectRestMs: (run) => runForecast.expectRestMs(run),
      now: () => clock.now,
    });
    leavingWorkers = workers;

    function leavingSessionOf(id: string, leavesInMs: number): WorkerSession {
      const session = sessionOf(id);
      const worker = { ...session.worker, state: 'leaving', leavesInMs };
      return { ...session, worker } as WorkerSession;
    }
    return { ...forecastCase, workers, leavingSessionOf, stopped };
  }

  it('keep the runs that end in time at their speed, and stop the others', () => {
    const { addJob, startRun, learnFactors, workers, leavingSessionOf, stopped } = createCase();
    learnFactors('batch', [1, 1, 0.5]);
    const runs: Run[] = [];
    for (const id of ['w0', 'w2']) {
      const session = leavingSessionOf(id, 800);
      runs.push(startRun(addJob([{}]), session));
      workers.update(session);
    }
    expect(stopped).to.deep.equal([runs[0]?.name]);
  });

  // Guards against a task that waits for the lease of a run which was expected to end before its worker left.
  it('stop a run that takes longer than expected before its worker has left', async () => {
    const { addJob, startRun, clock, workers, leavingSessionOf, stopped } = createCase();
    const session = leavingSessionOf('w1', 4000);
    const { name } = startRun(addJob([{ estimateMs: 1000 }]), session);
    workers.update(session);
    await pause(CHECKED_MS);
    expect(stopped).to.deep.equal([]);
    clock.now += 3900;
    await eventually(() => (stopped.includes(name) ? true : undefined), 'the run to be stopped');
  });

  it('count their time from the earliest entry that is known', async () => {
    const { addJob, startRun, clock, workers, leavingSessionOf, stopped } = createCase();
    const session = leavingSessionOf('w1', 2000);
    const { name } = startRun(addJob([{ estimateMs: 1000 }]), session);
    workers.update(session);
    clock.now += 1500;
    workers.update(session);
    clock.now += 400;
    await eventually(() => (stopped.includes(name) ? true : undefined), 'the run to be stopped');
  });

  it('keep a run of a former leader until its progress is known', async () => {
    const { addJob, startRun, clock, workers, leavingSessionOf, stopped } = createCase();
    const session = leavingSessionOf('w1', 2000);
    const run = startRun(addJob([{ estimateMs: 4000 }]), session);
    const inherited: Run = { ...run, inherited: true, percent: 0, startedClockMs: undefined };
    session.runs.set(run.name, inherited);
    workers.update(session);
    await pause(CHECKED_MS);
    expect(stopped).to.deep.equal([]);
    inherited.listed = true;
    inherited.percent = 90;
    inherited.progressedAt = clock.now;
    await pause(CHECKED_MS);
    expect(stopped).to.deep.equal([]);
    inherited.percent = 10;
    await eventually(
      () => (stopped.includes(run.name) ? true : undefined),
      'the run to be stopped',
    );
  });
});
