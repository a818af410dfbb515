/** Guards against a slow host that keeps placement for the whole cell, and against an office that goes round. */
import { expect } from 'chai';
import { createLoadMonitor } from '../../src/leadership/index.js';

/** Notes a timer every 100 ms of work, each late by `delayMs`; returns when the host should yield. */
function findYield(delayMs: number, forMs: number, startMs = 0): number | undefined {
  const watch = createLoadMonitor();
  watch.startTerm(startMs);
  for (let now = startMs; now < startMs + forMs; now += 100 + delayMs) {
    if (watch.note(delayMs, now)) return now - startMs;
  }
  return undefined;
}

describe('createLoadWatch', () => {
  it('yields soon on a host that runs at a quarter of its speed', () => {
    expect(findYield(250, 5000)).to.be.within(1500, 2500);
  });

  it('stays on a busy host', () => {
    expect(findYield(25, 60_000)).to.equal(undefined);
  });

  it('ignores the delay of reading all jobs at the beginning of a term', () => {
    const watch = createLoadMonitor();
    watch.startTerm(0);
    expect(watch.note(900, 950)).to.equal(false);
    expect(watch.note(5, 1700)).to.equal(false);
  });

  it('does not yield again within ten seconds', () => {
    const watch = createLoadMonitor();
    watch.startTerm(0);
    expect(watch.note(800, 2000)).to.equal(true);
    watch.startTerm(4000);
    expect(watch.note(800, 8000)).to.equal(false);
    expect(watch.note(800, 12_500)).to.equal(true);
  });
});
