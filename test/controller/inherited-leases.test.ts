/**
 * Guards against two runs of one task after a takeover, because the successor took the lease of a worker for expired that
 * had started again unnoticed and had then carried out an order of the former leader.
 */
import { expect } from 'chai';
import { maxInheritedLeaseMs } from '../../src/controller/inherited-leases.js';
import { LATE_ORDER_MS } from '../../src/controller/run.js';

const SLOW_CLOCK = 0.98;

describe('the leases that a former leader has left', () => {
  for (const maxLeaseMs of [4000, 10_000, 20_000]) {
    // The bound was that of a renewal that the worker had taken by its former clock, 8 s after it was sent.
    it(`count with the longest of ${String(maxLeaseMs)} ms from the last order that may be under way`, () => {
      const longestMs = maxLeaseMs / SLOW_CLOCK;
      expect(maxInheritedLeaseMs({ maxLeaseMs })).to.be.at.least(LATE_ORDER_MS + longestMs);
    });
  }

  it('count with the longest lease that the former leader may extend while it cannot reach the store', () => {
    const extendedMs = maxInheritedLeaseMs({ maxLeaseMs: 10_000, lateOrderMs: 0 });
    expect(extendedMs).to.be.at.least(10_000 + 10_000 / SLOW_CLOCK);
  });
});
