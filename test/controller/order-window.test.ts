/**
 * Guards against orders that rest on an outdated view, and against calls of a follower that let its view grow too old
 * for orders while the store answers.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import {
  createOrderWindow,
  followTiming,
  listingIntervalMs,
} from '../../src/controller/order-window.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import { followPrefix, pause } from '../../src/records/index.js';

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

  // Guards against a view that only listings confirm and that is too old for placement between two of them.
  for (const delayMs of [4, SLOW_CALL_MS]) {
    it(`allows placement between listings at a store that answers within ${String(delayMs)} ms`, async () => {
      const store = {
        list: async () => {
          await pause(delayMs);
          return ok({ entries: [], revision: 1 });
        },
        watch: async (_prefix: string, _after: number, waitMs: number) => {
          await pause(waitMs + delayMs);
          return ok({ changes: [], revision: 1 });
        },
      } as unknown as KeyValueStore;
      const follower = followPrefix({
        store,
        prefix: 'servers/',
        ...followTiming(MAX_AGE_MS),
        refreshMs: listingIntervalMs(MAX_AGE_MS),
        events: SILENT_EVENTS,
        onListing: () => undefined,
        onChange: () => undefined,
      });
      const orderWindow = createOrderWindow({
        views: [{ confirmedAt: () => follower.confirmedAt, maxAgeMs: MAX_AGE_MS }],
      });
      await pause(2 * delayMs);
      const endsAt = performance.now() + 2 * MAX_AGE_MS;
      while (performance.now() < endsAt) {
        const ageMs = performance.now() - follower.confirmedAt;
        expect(orderWindow.allowsPlacement, `placement at ${String(ageMs)} ms`).to.equal(true);
        await pause(10);
      }
      follower.stop();
    });
  }

  for (const maxAgeMs of [1000, 2000, 3000, 4000, 60_000]) {
    it(`allows placement after a watch without a response, at ${String(maxAgeMs)} ms`, () => {
      const { waitMs, watchTimeoutMs } = followTiming(maxAgeMs);
      const views = [{ confirmedAt: () => -(waitMs + watchTimeoutMs), maxAgeMs }];
      expect(createOrderWindow({ views, now: () => 0 }).allowsPlacement).to.equal(true);
    });
  }
});
