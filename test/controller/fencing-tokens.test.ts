/** Guards against calls to one incarnation of a worker that have an effect at another, or under another leader. */
import { expect } from 'chai';
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';

describe('fencing tokens', () => {
  it('rise within a term, above those of the term before and up to those of the next', () => {
    const before = createFencingTokens({ epoch: TOKENS_PER_TERM });
    const present = createFencingTokens({ epoch: 2 * TOKENS_PER_TERM });
    const next = createFencingTokens({ epoch: 3 * TOKENS_PER_TERM });
    for (let count = 0; count < 100; count += 1) before.issue('w1');
    const issued = [
      before.latestOf('w1'),
      present.issue('w1'),
      present.issue('w2'),
      present.issue('w1'),
      next.issue('w1'),
    ];
    expect(issued).to.deep.equal([...new Set(issued)].sort((left, right) => left - right));
  });

  // During an update, hosts of an older version lead in turn with the others. Their only token is their epoch.
  it('are above the epoch of an older version before, and below that of one after', () => {
    const formerEpoch = 7;
    const epoch = formerEpoch + TOKENS_PER_TERM;
    const tokens = createFencingTokens({ epoch });
    expect(tokens.issue('w1')).to.be.greaterThan(formerEpoch);
    for (let count = 1; count < TOKENS_PER_TERM; count += 1) tokens.issue('w1');
    expect(tokens.latestOf('w1')).to.be.lessThan(epoch + 1);
  });

  it('tell the leader when none is left', () => {
    let exhausted = 0;
    const tokens = createFencingTokens({
      epoch: TOKENS_PER_TERM,
      onExhausted: () => {
        exhausted += 1;
      },
    });
    for (let count = 0; count < TOKENS_PER_TERM; count += 1) tokens.issue('w1');
    expect(exhausted).to.equal(0);
    tokens.issue('w1');
    expect(exhausted).to.equal(1);
  });
});
