/**
 * Marking of work beyond a team's share.
 */
import { expect } from 'chai';
import { createShareMeter } from '../../src/controller/share-meter.js';

describe('share of a team', () => {
  it('marks what a team sends at many times its weight, and nothing of the others', () => {
    let now = 0;
    const meter = createShareMeter({ now: () => now });
    let flooded = 0;
    let others = 0;
    for (; now < 10_000; now += 20) {
      if (meter.recordJob('flood', 10)) flooded += 1;
      if (now % 200 === 0 && meter.recordJob('calm', 10)) others += 1;
    }
    // 500 jobs in 10 s at a weight of 10: 100 are within the share, and 20 more by the burst.
    expect(flooded).to.be.within(375, 385);
    expect(others).to.equal(0);
  });
});
