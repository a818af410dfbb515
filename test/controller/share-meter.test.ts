/**
 * Guards against a team that sends many times its usual rate and delays the work of other teams.
 */
import { expect } from 'chai';
import { createShareMeter } from '../../src/controller/share-meter.js';

describe('share meter', () => {
  it('marks the excess jobs of a team, and no job of the others', () => {
    let now = 0;
    const meter = createShareMeter({ now: () => now });
    let flooded = 0;
    let others = 0;
    for (; now < 10_000; now += 20) {
      if (meter.recordJob('flood', 10)) flooded += 1;
      if (now % 200 === 0 && meter.recordJob('calm', 10)) others += 1;
    }
    // Of 500 jobs in 10 s at a weight of 10, 100 are within the rate and 20 more within the burst.
    expect(flooded).to.be.within(375, 385);
    expect(others).to.equal(0);
  });
});
