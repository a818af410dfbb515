/**
 * Guards against orders that rest on an outdated view, and against calls of a follower that let its view grow too old
 * for orders while the store answers.
 */
import { expect } from 'chai';
import { createOrderWindow, followTiming } from '../../src/controller/order-window.js';

const MAX_AGE_MS = 2000;
/** Response time of the platform's store while it is slow. */
const SLOW_CALL_MS = 240;

function windowAt(ages: readonly number[]) {
  const views = ages.map((ageMs) => ({ confirmedAt: () => -ageMs, maxAgeMs: MAX_AGE_MS }));
  return createOrderWindow({ views, now: () => 0 });
}

describe('order window', () => {
  const cases = [
    { ages: [0], placement: true, remainingMs: 1800 },
    { ages: [1200], placement: true, remainingMs: 600 },
    { ages: [1201], placement: false, remainingMs: 599 },
    { ages: [1500], placement: false, remainingMs: 300 },
    { ages: [1501], placement: false, remainingMs: 0 },
    { ages: [Infinity], placement: false, remainingMs: 0 },
    { ages: [100, 1300], placement: false, remainingMs: 500 },
  ];
  for (const { ages, placement, remainingMs } of cases) {
    it(`leaves ${String(remainingMs)} ms to an order on views that are ${ages.join(' and ')} ms old`, () => {
      const orderWindow = windowAt(ages);
      expect(orderWindow.allowsPlacement).to.equal(placement);
      expect(orderWindow.remainingMs()).to.be.closeTo(remainingMs, 0.001);
    });
  }

  it('allows placement without changes while each call takes as long as at a slow store', () => {
    const { waitMs, watchTimeoutMs } = followTiming(MAX_AGE_MS);
    expect(waitMs + SLOW_CALL_MS).to.be.lessThan(watchTimeoutMs);
    expect(windowAt([2 * (waitMs + SLOW_CALL_MS)]).allowsPlacement).to.equal(true);
  });

  for (const maxAgeMs of [1000, 2000, 3000, 4000, 60_000]) {
    it(`allows placement after a watch without a response, at ${String(maxAgeMs)} ms`, () => {
      const { waitMs, watchTimeoutMs } = followTiming(maxAgeMs);
      const views = [{ confirmedAt: () => -(waitMs + watchTimeoutMs), maxAgeMs }];
      expect(createOrderWindow({ views, now: () => 0 }).allowsPlacement).to.equal(true);
    });
  }
});
