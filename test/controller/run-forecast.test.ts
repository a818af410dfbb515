import { expect } from 'chai';
import type { Step } from '../../src/jobs/index.js';
import { setDone } from '../../src/jobs/index.js';
import { STEP } from '../jobs/support.js';
import { expectDefined } from '../platform-path/support.js';
import { createForecastCase } from './forecast-case.js';

describe('forecast of runs', () => {
  describe('learning', () => {
    it('measures a run by the clock of its worker', () => {
      const { addJob, sessionOf, startRun, end, clock } = createForecastCase();
      const run = startRun(addJob([{}]), sessionOf('w1'));
      clock.now += 60_000;
      expect(end(run, 1000)).to.be.closeTo(1000, 1);
    });

    // Guards against runs that do only a part of their work, or are slowed down, and would show a wrong speed.
    const incomparable: Readonly<Record<string, (step: Partial<Step>) => Partial<Step>>> = {
      'of a step that is sensitive to racks': (step) => ({ ...step, rackSensitive: true }),
      'away from its data': (step) => ({ ...step, dataRack: 'r2' }),
      'that runs until it is cancelled': (step) => ({ ...step, longRunning: true }),
    };
    for (const [what, change] of Object.entries(incomparable)) {
      it(`takes nothing from a run ${what}`, () => {
        const { addJob, sessionOf, startRun, end, forecast } = createForecastCase();
        const session = sessionOf('w1');
        expect(end(startRun(addJob([change({})]), session), 5000)).to.equal(undefined);
        expect(forecast.speedOf(session.incarnation)).to.equal(1);
      });
    }

    it('learns from a run on the rack of its data', () => {
      const { addJob, sessionOf, startRun, end } = createForecastCase();
      const run = startRun(addJob([{ dataRack: 'r2' }]), sessionOf('w1', 'r2'));
      expect(end(run, 1000)).to.be.closeTo(1000, 1);
    });

    it('takes nothing from a run that resumed from a checkpoint, or whose start is not known', () => {
      const { addJob, sessionOf, startRun, end, runForecast } = createForecastCase();
      const session = sessionOf('w1');
      const entry = addJob([{}]);
      const unknown = startRun(entry, session);
      unknown.startedClockMs = undefined;
      unknown.endedClockMs = 20_000;
      expect(runForecast.learnEnd(unknown)).to.equal(undefined);
      unknown.task.checkpoint = 'half';
      expect(end(startRun(entry, session), 500)).to.equal(undefined);
      expect(runForecast.speedOf(session)).to.equal(1);
    });

    it('learns from a gang once, and nothing about its workers', () => {
      const { addJob, sessionOf, startRun, end, runForecast } = createForecastCase();
      const entry = addJob([{ gang: true }]);
      const sessions = ['w1', 'w2', 'w3'].map((id) => sessionOf(id));
      const runs = sessions.map((session, index) => startRun(entry, session, index));
      const [first, second] = runs;
      expect(end(expectDefined(first), 2000)).to.be.closeTo(2000, 1);
      setDone(expectDefined(first).step, [0, 2]);
      expect(end(expectDefined(second), 2000)).to.equal(undefined);
      expect(sessions.map((session) => runForecast.speedOf(session))).to.deep.equal([1, 1, 1]);
    });

    it('learns from the progress of runs that a worker has become slow', () => {
      const { addJob, sessionOf, startRun, learnFactors, runForecast } = createForecastCase();
      learnFactors('batch', [1, 1, 1]);
      const session = sessionOf('w0');
      for (const index of [0, 1]) {
        const run = startRun(addJob([{}]), session, index);
        run.percent = 10;
        run.progressedClockMs = expectDefined(run.startedClockMs) + 500;
      }
      runForecast.learnProgress(session);
      const slow = runForecast.speedOf(session);
      expect(slow).to.be.below(0.45);
      // The same report of progress is not a second observation.
      runForecast.learnProgress(session);
      expect(runForecast.speedOf(session)).to.equal(slow);
    });
  });

  describe('outlook of a job', () => {
    const STEPS = [{}, { estimateMs: 500, after: [0] }, { estimateMs: 200 }];

    it('is that of its estimates and terms while nothing is learned', () => {
      const { addJob, readyOf, runForecast } = createForecastCase();
      const entry = addJob(STEPS);
      const outlook = runForecast.outlookOf(readyOf(entry));
      expect(outlook.workMs).to.deep.equal([1000, 500, 200]);
      expect(outlook.criticalPathMs).to.deep.equal([1500, 500, 200]);
      expect(outlook.objectiveAtMs).to.equal(entry.objectiveAtMs);
      expect(outlook.uselessAtMs).to.equal(entry.uselessAtMs);
    });

    // Work of a queue that takes twice its estimate was planned as if it had time, and ended late.
    it('follows what was learned of its queue, with the terms of the job', () => {
      const { addJob, readyOf, runForecast, learnFactors } = createForecastCase();
      learnFactors('exact', [1, 1]);
      learnFactors('batch', [2, 2]);
      learnFactors('exact', [1, 1]);
      const entry = addJob(STEPS);
      const outlook = runForecast.outlookOf(readyOf(entry));
      const [pathMs = 0] = outlook.criticalPathMs;
      expect(pathMs).to.be.within(2600, 3300);
      // The level of all estimates together is not known better than by them.
      const nominalMs = pathMs * runForecast.forecast.nominalFactorOf('rota');
      expect(outlook.objectiveAtMs).to.be.closeTo(5000 + 1.5 * nominalMs + 250, 1);
      expect(outlook.uselessAtMs).to.be.closeTo(5000 + 3 * (1.5 * nominalMs + 250), 1);
    });

    it('does not loosen objectives because most workers are slower than the estimates assume', () => {
      const { addJob, readyOf, runForecast, learnFactors } = createForecastCase();
      learnFactors('batch', [1 / 0.7, 1 / 0.7, 1 / 1.7]);
      const entry = addJob([{}]);
      const outlook = runForecast.outlookOf(readyOf(entry));
      expect(outlook.criticalPathMs[0]).to.be.within(1250, 1550);
      expect(outlook.objectiveAtMs - entry.objectiveAtMs).to.be.within(-250, 250);
    });
  });

  describe('releases of a worker', () => {
    it('are the expected ends of its runs in the order of time', () => {
      const { addJob, sessionOf, startRun, runForecast, clock } = createForecastCase();
      const session = sessionOf('w1');
      startRun(addJob([{ estimateMs: 4000 }]), session);
      startRun(addJob([{ estimateMs: 800, size: { ...STEP.size, processors: 7 } }]), session);
      startRun(addJob([{ longRunning: true }]), session);
      const stopping = startRun(addJob([{ estimateMs: 60_000 }]), session);
      stopping.status = 'stopping';
      stopping.since = clock.now;
      const releases = runForecast.releasesOf(session, 1_000_000);
      expect(releases.map(({ atMs }) => Math.round(atMs))).to.deep.equal([
        1_000_800, 1_000_900, 1_004_000,
      ]);
      expect(releases[0]?.size.processors).to.equal(7);
    });

    it('follow the speed of the worker and, for a gang, that of the slowest member', () => {
      const { addJob, sessionOf, startRun, learnFactors, runForecast } = createForecastCase();
      learnFactors('batch', [1, 1, 0.5]);
      const slow = sessionOf('w0');
      const fast = sessionOf('w2');
      startRun(addJob([{}]), fast);
      expect(runForecast.releasesOf(fast, 0)[0]?.atMs).to.be.within(430, 700);
      fast.runs.clear();
      const gang = addJob([{ gang: true, count: 2 }]);
      startRun(gang, slow, 0);
      startRun(gang, fast, 1);
      expect(runForecast.releasesOf(fast, 0)[0]?.atMs).to.be.within(850, 1300);
    });

    it('follow the percent of a run from before the term or from a checkpoint', () => {
      const { addJob, sessionOf, startRun, runForecast, clock } = createForecastCase();
      const session = sessionOf('w1');
      const run = startRun(addJob([{ estimateMs: 4000 }]), session);
      run.startedClockMs = undefined;
      run.percent = 75;
      run.progressedAt = clock.now;
      clock.now += 100;
      const [release] = runForecast.releasesOf(session, 0);
      expect(release?.atMs).to.be.within(850, 1900);
    });
  });
});
