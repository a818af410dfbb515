/**
 * Guards against a rate at which room becomes free that is too low after an election, that stays high after a burst, and
 * against usual durations that few odd tasks determine.
 */
import { expect } from 'chai';
import { createFlowMeter, expectedWorkMs, teamFlow } from '../../src/admission/index.js';
import type { EndedRun } from '../../src/admission/index.js';
import { createShareMeter } from '../../src/controller/share-meter.js';

const RUN: EndedRun = {
  queue: 'checks',
  service: 'seams',
  team: 'lawns',
  processors: 10,
  accelerators: 0,
  tookMs: 500,
  estimateMs: 1000,
  done: true,
};

function createCase() {
  let nowMs = 0;
  const flow = createFlowMeter({ now: () => nowMs });
  return {
    flow,
    /** Lets a run of 5,000 core-milliseconds end every 50 ms, 100 cores. */
    endRuns: (forMs: number, run: Partial<EndedRun> = {}) => {
      for (const until = nowMs + forMs; nowMs < until; nowMs += 50)
        flow.noteEnd({ ...RUN, ...run });
    },
    advance: (ms: number) => {
      nowMs += ms;
    },
  };
}

describe('measured flow of work', () => {
  it('gives the cores whose work ends, soon after the start as well', () => {
    const { flow, endRuns } = createCase();
    expect(flow.endedCores('seams')).to.equal(0);
    endRuns(1000);
    expect(flow.endedCores('seams')).to.be.closeTo(100, 5);
    endRuns(20_000);
    expect(flow.endedCores('seams')).to.be.closeTo(100, 2);
    expect(flow.endedCores('other')).to.equal(0);
  });

  it('gives the cores of a team over all services', () => {
    const { flow, endRuns } = createCase();
    endRuns(2000);
    endRuns(2000, { service: 'other' });
    endRuns(2000, { team: 'hedges' });
    expect(flow.endedCores(teamFlow('lawns'))).to.be.greaterThan(flow.endedCores('other') + 10);
    expect(flow.endedCores(teamFlow('hedges'))).to.be.greaterThan(10);
  });

  it('forgets within seconds', () => {
    const { flow, endRuns, advance } = createCase();
    endRuns(20_000);
    advance(10_000);
    expect(flow.endedCores('seams')).to.be.lessThan(10);
  });

  it('counts room that becomes free after a failure, but not its duration', () => {
    const { flow, endRuns } = createCase();
    endRuns(5000, { done: false });
    expect(flow.endedCores('seams')).to.be.closeTo(100, 5);
    expect(flow.usualTask('checks')).to.equal(undefined);
  });

  it('tells arriving work by its class and share', () => {
    const { flow, advance } = createCase();
    const work = {
      service: 'seams',
      team: 'lawns',
      urgent: true,
      beyondShare: false,
      coreMs: 1000,
    };
    for (let count = 0; count < 100; count += 1) {
      flow.noteArrival(work);
      flow.noteArrival({ ...work, urgent: false, coreMs: 2000 });
      flow.noteArrival({ ...work, beyondShare: true, coreMs: 3000 });
      advance(100);
    }
    expect(flow.arrivingCores('seams', 'urgent')).to.be.closeTo(10, 0.5);
    expect(flow.arrivingCores('seams', 'all')).to.be.closeTo(30, 1.5);
    expect(flow.arrivingCores('seams', 'beyond')).to.be.closeTo(30, 1.5);
  });

  it('knows the usual task of a queue after some ends, and corrects estimates within bounds', () => {
    const { flow, endRuns } = createCase();
    endRuns(400);
    expect(flow.usualTask('checks')).to.equal(undefined);
    endRuns(200);
    expect(flow.usualTask('checks')).to.deep.equal({
      workMs: 500,
      factor: 0.5,
      processors: 10,
      accelerators: 0,
    });
    endRuns(20_000, { estimateMs: 1 });
    expect(flow.usualTask('checks')?.factor).to.equal(2);
  });

  it('follows a single odd duration by little', () => {
    const { flow, endRuns } = createCase();
    endRuns(5000);
    flow.noteEnd({ ...RUN, tookMs: 5000 });
    expect(flow.usualTask('checks')?.workMs).to.be.lessThan(620);
  });

  it('takes the shorter of an estimate and the usual work', () => {
    expect(expectedWorkMs(300, { workMs: 500 })).to.equal(300);
    expect(expectedWorkMs(900, { workMs: 500 })).to.equal(500);
    expect(expectedWorkMs(900, undefined)).to.equal(450);
  });
});

describe('teams that have used up their share', () => {
  it('are those with less than half of a burst left', () => {
    let nowMs = 0;
    const share = createShareMeter({ now: () => nowMs });
    for (let job = 0; job < 20; job += 1) share.recordJob('lawns', 10);
    for (let job = 0; job < 5; job += 1) share.recordJob('hedges', 10);
    expect(share.scarce()).to.deep.equal([{ name: 'lawns', jobs: 0, perSecond: 10 }]);
    nowMs += 500;
    expect(share.scarce()).to.deep.equal([{ name: 'lawns', jobs: 5, perSecond: 10 }]);
    nowMs += 500;
    expect(share.scarce()).to.deep.equal([]);
  });
});
