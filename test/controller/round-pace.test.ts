/** Guards against planning that delays the handling of callers, workers and the store. */
import { expect } from 'chai';
import { delayOfRequest, pauseAfterRound } from '../../src/controller/round-pace.js';

describe('pauseAfterRound', () => {
  it('waits for the minimum pause after a cheap round', () => {
    expect(pauseAfterRound(0.3)).to.equal(3);
  });

  it('leaves seven eighths of the time to other work', () => {
    // At 550 starts a second planning took a quarter of the time of a leader that was at its limit.
    for (const roundMs of [1, 3, 16]) {
      expect(pauseAfterRound(roundMs) / (pauseAfterRound(roundMs) + roundMs)).to.equal(0.875);
    }
  });

  it('limits the pause after an expensive round', () => {
    expect(pauseAfterRound(200)).to.equal(120);
  });
});

// Guards against changes that wait for the whole pause after a round that ended long ago.
describe('delayOfRequest', () => {
  it('waits for what is left of the pause', () => {
    expect(delayOfRequest(70, 0)).to.equal(70);
    expect(delayOfRequest(70, 50)).to.equal(20);
  });

  it('lets changes that arrive together share a round, however long ago the last one was', () => {
    expect(delayOfRequest(70, 5000)).to.equal(3);
  });
});
