/** Guards against orders of a leader that was paused until another host could have been elected. */
import { expect } from 'chai';
import { isLeadershipFresh } from '../../src/controller/leadership-freshness.js';

describe('isLeadershipFresh', () => {
  it('allows orders right after their write and while the lease is renewed', () => {
    expect(isLeadershipFresh({ nowMs: 5010, writtenAt: 5000, renewedAt: 4800 })).to.equal(true);
    // The write took long because the store was slow or away.
    expect(isLeadershipFresh({ nowMs: 9000, writtenAt: 5000, renewedAt: 8900 })).to.equal(true);
    // No renewal was confirmed for a while, but the write was.
    expect(isLeadershipFresh({ nowMs: 5300, writtenAt: 5000, renewedAt: 3000 })).to.equal(true);
  });

  it('forbids orders after a pause in which the lease may have run out', () => {
    expect(isLeadershipFresh({ nowMs: 8000, writtenAt: 5000, renewedAt: 4900 })).to.equal(false);
  });

  it('forbids orders of a host that no longer leads', () => {
    expect(isLeadershipFresh({ nowMs: 5010, writtenAt: 5000, renewedAt: undefined })).to.equal(
      false,
    );
  });
});
