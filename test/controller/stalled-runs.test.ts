/**
 * Guards against stopping the work of a sound worker because its reports were late, on their way or at a leader that
 * was busy or paused. Only the worker's own clock shows how long a run has made no progress.
 */
import { expect } from 'chai';
import { stopStalledRuns } from '../../src/controller/job-lifecycle.js';
import { createRun, hasStalled } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import { createWorkerReports } from '../../src/controller/worker-reports.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createWorkerHealth } from '../../src/planner/index.js';
import { createSingleTask } from './support.js';

const ESTIMATE_MS = 2000;
/** Time without progress after which a run of this estimate counts as stalled. */
const STALL_MS = 600;

function createCase(estimateMs = ESTIMATE_MS) {
  const { progress, step, task } = createSingleTask(estimateMs);
  const runs = new Map<string, Run>();
  const session = { incarnation: { id: 'w1', born: 1 }, runs } as unknown as WorkerSession;
  const run = createRun({ name: 'job.0.0.0', progress, step, task, session, inherited: false });
  runs.set(run.name, run);
  run.status = 'running';
  const stopped: string[] = [];
  const health = createWorkerHealth({ now: () => 0 });
  const reports = createWorkerReports({
    worker: { id: 'w1', born: 1 },
    epoch: 1,
    runs,
    endRun: () => Promise.resolve(true),
    stop: () => undefined,
    stopForeign: () => undefined,
    onReport: (clockMs) => {
      stopStalledRuns(session, {
        clockMs,
        health,
        stop: ({ name }) => {
          stopped.push(name);
        },
        isGangRunning: () => true,
      });
    },
    onChange: () => undefined,
    events: SILENT_EVENTS,
  });
  const report = (clockMs: number, percent: number) =>
    reports.apply(
      {
        born: 1,
        clockMs,
        running: [{ task: run.name, run: 1, checkpoint: '', percent }],
        ended: [],
      },
      performance.now(),
    );
  return { run, report, stopped, health };
}

describe('stalled runs', () => {
  it('keeps a run whose reports reach the leader long after they were made', async () => {
    const { run, report, stopped, health } = createCase();
    await report(1000, 5);
    // The leader was busy or paused for ten seconds; both reports had been made 0.1 s apart and waited for it.
    run.progressedAt -= 10_000;
    run.since -= 10_000;
    await report(1100, 5);
    expect(stopped).to.deep.equal([]);
    expect(health.statusOf('w1')).to.equal('trusted');
  });

  it('stops a run that has made no progress on the clock of its worker', async () => {
    const { report, stopped, health } = createCase();
    await report(1000, 5);
    await report(1000 + STALL_MS - 1, 5);
    expect(stopped).to.deep.equal([]);
    await report(1000 + STALL_MS, 5);
    expect(stopped).to.deep.equal(['job.0.0.0']);
    expect(health.statusOf('w1')).to.equal('avoided');
  });

  it('counts from the last progress', async () => {
    const { report, stopped } = createCase();
    await report(1000, 5);
    await report(1500, 20);
    await report(2000, 20);
    expect(stopped).to.deep.equal([]);
  });

  it('knows nothing of a run that its worker has not confirmed', () => {
    const { run } = createCase();
    expect(hasStalled(run, 100_000)).to.equal(false);
  });

  describe('of a task that takes many times its estimate', () => {
    /** Plays runs, each from the beginning, until one ends; returns the number of runs that were stopped before. */
    async function playUntilDone(durationMs: number, estimateMs: number): Promise<number> {
      const { run, report, stopped } = createCase(estimateMs);
      for (let attempt = 0; attempt < 20; attempt += 1) {
        Object.assign(run, { percent: 0, progressedClockMs: undefined });
        for (let elapsedMs = 0; stopped.length === attempt; elapsedMs += 100) {
          if (elapsedMs >= durationMs) return attempt;
          await report(elapsedMs, Math.floor((100 * elapsedMs) / durationMs));
        }
      }
      return Infinity;
    }

    // Such a task was stopped for want of progress again and again, because workers report whole percents.
    it('lets it end after a few attempts', async () => {
      expect(await playUntilDone(6200 * 20, 6200)).to.equal(1);
      expect(await playUntilDone(1000 * 300, 1000)).to.equal(3);
      expect(await playUntilDone(1000 * 3000, 0)).to.be.within(1, 6);
    });

    it('never stops it when it takes as long as estimated', async () => {
      for (const durationMs of [1000, 6200, 200_000, 3_600_000])
        expect(await playUntilDone(durationMs, durationMs)).to.equal(0);
    });
  });
});
