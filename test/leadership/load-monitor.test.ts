/** Guards against a slow host that keeps the leadership, and against slow hosts that pass it around. */
import { expect } from 'chai';
import { createLoadMonitor } from '../../src/leadership/index.js';

/** Records a timer after every 100 ms of work, each late by `delayMs`; returns when the host should yield. */
function findYield(delayMs: number, forMs: number, startMs = 0): number | undefined {
  const monitor = createLoadMonitor();
  monitor.startTerm(startMs);
  for (let now = startMs; now < startMs + forMs; now += 100 + delayMs) {
    if (monitor.note(delayMs, now)) return now - startMs;
  }
  return undefined;
}

describe('createLoadMonitor', () => {
  it('yields soon on a host that runs at a quarter of its speed', () => {
    expect(findYield(250, 5000)).to.be.within(1500, 2500);
  });

  it('does not yield on a host that is merely busy', () => {
    expect(findYield(25, 60_000)).to.equal(undefined);
  });

  it('ignores the delay of reading all jobs at the beginning of a term', () => {
    const monitor = createLoadMonitor();
    monitor.startTerm(0);
    expect(monitor.note(900, 950)).to.equal(false);
    expect(monitor.note(5, 1700)).to.equal(false);
  });

  it('does not yield again within ten seconds', () => {
    const monitor = createLoadMonitor();
    monitor.startTerm(0);
    expect(monitor.note(800, 2000)).to.equal(true);
    monitor.startTerm(4000);
    expect(monitor.note(800, 8000)).to.equal(false);
    expect(monitor.note(800, 12_500)).to.equal(true);
  });
});
