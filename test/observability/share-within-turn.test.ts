/** Guards against one copy of all metrics for each request that a client has pipelined. */
import { expect } from 'chai';
import { shareWithinTurn } from '../../src/observability/index.js';

describe('a result that is shared within a turn of the event loop', () => {
  it('is computed once in a turn and anew in the next', async () => {
    let computed = 0;
    const compute = shareWithinTurn(() => {
      computed += 1;
      return Promise.resolve(computed);
    });
    expect(await Promise.all([compute(), compute()])).to.deep.equal([1, 1]);
    expect(await compute()).to.equal(1);
    await new Promise((resolve) => setImmediate(resolve));
    expect(await compute()).to.equal(2);
  });
});
