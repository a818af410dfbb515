/**
 * Guards against a leader at its limit that spends time on learning, which it needs for starts, and against one that
 * switches to and fro.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { createSpareTime } from '../../src/controller/spare-time.js';

describe('the spare time of a leader', () => {
  async function follow(shares: readonly number[]): Promise<boolean[]> {
    const left = [...shares];
    const seen: boolean[] = [];
    const spareTime = createSpareTime({
      intervalMs: 5,
      utilization: () => {
        seen.push(spareTime.isLeft);
        return left.shift() ?? 0;
      },
    });
    while (seen.length <= shares.length) await sleep(2);
    spareTime.close();
    return seen.slice(1, shares.length + 1);
  }

  it('is left until its event loop has work nearly all the time', async () => {
    expect(await follow([0.3, 0.7, 0.79, 0.85])).to.deep.equal([true, true, true, false]);
  });

  it('is back only when the event loop has clearly less work', async () => {
    expect(await follow([0.9, 0.75, 0.7, 0.6])).to.deep.equal([false, false, false, true]);
  });
});
