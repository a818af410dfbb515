/**
 * Guards against refusals of jobs that may still be of use: on one publication, on an old one, on those of two leaders,
 * on a wrong estimate, and of jobs of a team within its share because of another team.
 */
import { expect } from 'chai';
import { createWaitGate } from '../../src/admission/index.js';
import type { SubmittedJob, WaitRecord } from '../../src/admission/index.js';
import { STEP } from '../jobs/support.js';

/** Objective 1.5 times 500 ms and 250 ms; of use for three times that, 3 s. */
const JOB: SubmittedJob = {
  queue: 'checks',
  team: 'lawns',
  steps: [{ ...STEP, estimateMs: 500 }],
  stretch: 1.5,
  targetLatencyMs: 250,
  scheduled: false,
};
const LONG = { onTimeMs: 5000, lateMs: 5000 };
const NONE = { onTimeMs: 0, lateMs: 0 };

function createRecord(
  number: number,
  queue: Partial<WaitRecord['queues'][string]> = {},
  rest: Partial<WaitRecord> = {},
): WaitRecord {
  return {
    epoch: 1,
    number,
    hosts: 2,
    queues: { checks: { within: LONG, beyond: LONG, usualMs: 500, factor: 1, ...queue } },
    limited: {},
    teams: {},
    ...rest,
  };
}

function createCase(random = 0) {
  let nowMs = 0;
  const gate = createWaitGate({ now: () => nowMs, random: () => random });
  return {
    gate,
    judge: (job: Partial<SubmittedJob> = {}) => gate.judge({ ...JOB, ...job }),
    advance: (ms: number) => {
      nowMs += ms;
    },
    /** Publishes the same record twice. */
    publish: (queue?: Partial<WaitRecord['queues'][string]>, rest?: Partial<WaitRecord>) => {
      gate.update(createRecord(1, queue, rest), 10);
      nowMs += 400;
      gate.update(createRecord(2, queue, rest), 20);
    },
  };
}

describe('decision on a job by its expected wait', () => {
  it('refuses a job that would end too late, and says why', () => {
    const { judge, publish, advance } = createCase();
    publish();
    advance(100);
    expect(judge()).to.deep.equal({
      reason: 'too-late',
      expectedWaitMs: 5000,
      usefulMs: 3000,
      recordAgeMs: 100,
      recordRevision: 20,
      retryAfterS: 5,
    });
  });

  it('accepts a job that is too late by less than the margin', () => {
    const { judge, publish } = createCase();
    publish({ within: { onTimeMs: 3200, lateMs: 3200 } });
    expect(judge()).to.equal(undefined);
  });

  it('accepts a job of a queue without a wait', () => {
    const { judge, publish } = createCase();
    publish();
    expect(judge({ queue: 'patterns' })).to.equal(undefined);
  });

  it('accepts scheduled and long-running jobs', () => {
    const { judge, publish } = createCase();
    publish();
    expect(judge({ scheduled: true })).to.equal(undefined);
    expect(judge({ steps: [{ ...STEP, longRunning: true }] })).to.equal(undefined);
  });

  describe('by the part of the slack that the wait takes', () => {
    const within = { onTimeMs: 200, lateMs: 9000 };

    it('accepts a job that can start on time, whatever late work has to wait for', () => {
      const { judge, publish } = createCase();
      publish({ within });
      expect(judge()).to.equal(undefined);
    });

    it('refuses a job that would become late and then be held up', () => {
      const { judge, publish } = createCase();
      publish({ within: { ...within, onTimeMs: 600 } });
      expect(judge()?.expectedWaitMs).to.equal(9000);
    });
  });

  describe('without a sure record', () => {
    it('accepts all jobs if the host has heard nothing', () => {
      expect(createCase().judge()).to.equal(undefined);
    });

    it('accepts them on a single publication, however often it is listed', () => {
      const { gate, judge } = createCase();
      for (let listing = 0; listing < 3; listing += 1) gate.update(createRecord(1), 10);
      expect(judge()).to.equal(undefined);
    });

    it('accepts them if either of the last two publications has no long wait', () => {
      const { gate, judge, publish } = createCase();
      publish();
      gate.update(createRecord(3, { within: NONE, beyond: NONE }), 30);
      expect(judge()).to.equal(undefined);
      gate.update(createRecord(4), 40);
      expect(judge()).to.equal(undefined);
      gate.update(createRecord(5), 50);
      expect(judge()?.reason).to.equal('too-late');
    });

    it('accepts them on an old record', () => {
      const { judge, publish, advance } = createCase();
      publish();
      advance(3001);
      expect(judge()).to.equal(undefined);
    });

    it('accepts them if a publication was missed', () => {
      const { gate, judge } = createCase();
      gate.update(createRecord(1), 10);
      gate.update(createRecord(3), 30);
      expect(judge()).to.equal(undefined);
    });

    it('accepts them on the first publication of a new leader', () => {
      const { gate, judge, publish } = createCase();
      publish();
      gate.update(createRecord(1, {}, { epoch: 2 }), 30);
      expect(judge()).to.equal(undefined);
      gate.update(createRecord(2, {}, { epoch: 2 }), 40);
      expect(judge()?.reason).to.equal('too-late');
    });

    it('accepts them once the record is gone or cannot be read', () => {
      const { gate, judge, publish } = createCase();
      publish();
      gate.update(undefined, 30);
      expect(judge()).to.equal(undefined);
    });
  });

  describe('with poor estimates', () => {
    it('counts the usual work where the estimate of a job is longer', () => {
      const { judge, publish } = createCase();
      const steps = [{ ...STEP, estimateMs: 2000 }];
      // Of use for 9.75 s: 12.1 s are beyond the margin with the estimate alone, but not with the usual work.
      publish({ within: { onTimeMs: 10_500, lateMs: 10_500 } });
      expect(judge({ steps })).to.equal(undefined);
      const sure = createCase();
      sure.publish({ within: { onTimeMs: 12_000, lateMs: 12_000 } });
      expect(sure.judge({ steps })?.reason).to.equal('too-late');
    });

    it('counts no work of the job while real durations are unknown', () => {
      const { gate, judge } = createCase();
      const queues = { checks: { within: { onTimeMs: 3700, lateMs: 3700 }, beyond: LONG } };
      gate.update(createRecord(1, {}, { queues }), 10);
      gate.update(createRecord(2, {}, { queues }), 20);
      expect(judge()).to.equal(undefined);
    });
  });

  describe('with one team at many times its usual load', () => {
    const teams = { lawns: { jobs: 0, perSecond: 20 } };
    const queue = { within: NONE, beyond: LONG };

    it('refuses jobs of that team beyond its share and no others', () => {
      const { judge, publish } = createCase();
      publish(queue, { teams: { lawns: { jobs: 0, perSecond: 1 } } });
      expect(judge()?.reason).to.equal('too-late-beyond-share');
      expect(judge({ team: 'hedges' })).to.equal(undefined);
    });

    it('accepts what the team regains, by the part of the host', () => {
      const { gate, judge, publish, advance } = createCase();
      publish(queue, { teams });
      let accepted = 0;
      for (let elapsed = 0; elapsed < 2000; elapsed += 10) {
        advance(10);
        if (elapsed % 400 === 0) {
          const number = 3 + elapsed / 400;
          gate.update(createRecord(number, queue, { teams }), 10 * number);
        }
        if (judge() !== undefined) continue;
        accepted += 1;
        gate.recordAccepted('lawns');
      }
      // 10 a second at each of two hosts, and what was regained between the publications.
      expect(accepted).to.be.within(22, 24);
    });

    it('accepts what the leader still counts as within the share', () => {
      const { gate, judge, publish } = createCase();
      publish(queue, { teams: { lawns: { jobs: 6, perSecond: 1 } } });
      for (let job = 0; job < 3; job += 1) {
        expect(judge()).to.equal(undefined);
        gate.recordAccepted('lawns');
      }
      expect(judge()?.reason).to.equal('too-late-beyond-share');
    });
  });

  describe('with a team at its upper limit', () => {
    const limited = { lawns: { checks: { within: LONG, beyond: LONG, usualMs: 500, factor: 1 } } };

    it('refuses jobs of that team, in the queue in which its work waits, and no others', () => {
      const { judge, publish } = createCase();
      publish({ within: NONE, beyond: NONE }, { limited });
      expect(judge()?.reason).to.equal('too-late-at-limit');
      expect(judge({ queue: 'patterns' })).to.equal(undefined);
      expect(judge({ team: 'hedges' })).to.equal(undefined);
    });
  });

  describe('tells callers when to come back', () => {
    const teams = { lawns: { jobs: 0, perSecond: 1 } };

    it('later the longer the backlog, over a range', () => {
      const retryOf = (onTimeMs: number, random: number) => {
        const { judge, publish } = createCase(random);
        publish({ within: { onTimeMs, lateMs: 20_000 } });
        return judge()?.retryAfterS;
      };
      expect(retryOf(700, 0)).to.equal(1);
      expect(retryOf(700, 0.99)).to.equal(2);
      expect(retryOf(4200, 0)).to.equal(5);
      expect(retryOf(4200, 0.99)).to.equal(10);
      expect(retryOf(60_000, 0.99)).to.equal(30);
    });

    it('later beyond the share than within it', () => {
      const retryOf = (team: string, random: number) => {
        const { judge, publish } = createCase(random);
        publish({}, { teams });
        return judge({ team })?.retryAfterS ?? 0;
      };
      expect(retryOf('lawns', 0)).to.be.greaterThan(retryOf('hedges', 0.99));
    });
  });
});
