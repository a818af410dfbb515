/**
 * Guards against a slow host that keeps the leadership, against slow hosts that pass it around, and against a leader
 * that hands an overload over to a host that would do no better.
 */
import { expect } from 'chai';
import { createLoadMonitor } from '../../src/leadership/index.js';

const CORE_SHARE = 0.675;

/** Work of 100 ms after which a timer is late by `delayMs`, on a host that runs at `speed`. */
function sample(delayMs: number, speed: number) {
  const activeMs = 100 + delayMs;
  return { delayMs, activeMs, processorMs: activeMs * CORE_SHARE * speed };
}

/** Time after which the host should yield, with a timer that is late by `delayMs` each time. */
function findYield(delayMs: number, forMs: number, speed: number): number | undefined {
  const monitor = createLoadMonitor({ coreShare: CORE_SHARE });
  monitor.startTerm(0);
  for (let now = 0; now < forMs; now += 100 + delayMs) {
    if (monitor.note(sample(delayMs, speed), now)) return now;
  }
  return undefined;
}

describe('createLoadMonitor', () => {
  describe('on a slow host', () => {
    it('yields soon at a quarter of the usual speed', () => {
      expect(findYield(250, 5000, 0.25)).to.be.within(1500, 2500);
    });

    it('does not yield again within ten seconds', () => {
      const monitor = createLoadMonitor({ coreShare: CORE_SHARE });
      monitor.startTerm(0);
      expect(monitor.note(sample(800, 0.25), 2000)).to.equal(true);
      monitor.startTerm(4000);
      expect(monitor.note(sample(800, 0.25), 8000)).to.equal(false);
      expect(monitor.note(sample(800, 0.25), 12_500)).to.equal(true);
    });

    it('ignores the delay of reading all jobs at the beginning of a term', () => {
      const monitor = createLoadMonitor({ coreShare: CORE_SHARE });
      monitor.startTerm(0);
      expect(monitor.note(sample(900, 0.25), 950)).to.equal(false);
      expect(monitor.note(sample(5, 0.25), 1700)).to.equal(false);
    });
  });

  describe('on a host at its usual speed', () => {
    it('does not yield with short delays', () => {
      expect(findYield(25, 60_000, 1)).to.equal(undefined);
    });

    it('does not yield in an overload, which the next leader would have as well', () => {
      // A leader in a burst of lookups handed over to an equal host, and all links and leases had to be rebuilt.
      for (const speed of [0.8, 1, 2]) expect(findYield(400, 60_000, speed)).to.equal(undefined);
    });
  });
});
