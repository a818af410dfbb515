import { expect } from 'chai';
import { expectEnd } from '../../src/forecast/index.js';

const RUN = {
  nowMs: 1000,
  startedAtMs: 1000,
  expectedMs: 2000,
  variance: 0.02,
  percent: 0,
  percentAfterMs: 0,
};

describe('expected end of a run', () => {
  it('is its start and its expected duration while nothing is reported', () => {
    expect(expectEnd(RUN)).to.be.closeTo(3000, 1);
    expect(expectEnd({ ...RUN, nowMs: 2000 })).to.be.closeTo(3000, 1);
  });

  it('follows the reported percent once that is more exact than the expectation', () => {
    const early = expectEnd({ ...RUN, nowMs: 1050, percent: 1, percentAfterMs: 40 });
    expect(early).to.be.within(2800, 3400);
    const late = expectEnd({ ...RUN, nowMs: 3000, percent: 50, percentAfterMs: 2000 });
    expect(late).to.be.within(4800, 5050);
  });

  it('keeps to the expectation of a well-known task where whole percents say less', () => {
    const end = expectEnd({
      ...RUN,
      variance: 0.0004,
      nowMs: 1030,
      percent: 1,
      percentAfterMs: 20,
    });
    expect(end).to.be.closeTo(3000, 60);
  });

  // Guards against a plan that counts on room which is overdue at each round anew.
  it('is later than now by a part of what has passed for a run that exceeds its expectation', () => {
    const rest = (nowMs: number) => expectEnd({ ...RUN, nowMs }) - nowMs;
    expect(rest(4000)).to.be.within(100, 600);
    expect(rest(9000)).to.be.above(rest(4000));
    expect(expectEnd({ ...RUN, variance: 0, nowMs: 4000 })).to.be.above(4000);
  });
});
