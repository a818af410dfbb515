/** Guards against tasks that count as done, or as not done, because of how the set of done tasks is kept. */
import { expect } from 'chai';
import fc from 'fast-check';
import { addIndex, hasIndex } from '../../src/jobs/index.js';
import type { Span } from '../../src/jobs/index.js';

const COUNT = 40;

describe('spans of indexes', () => {
  it('hold the indexes that were added, in as few spans as possible', () => {
    fc.assert(
      fc.property(fc.array(fc.nat({ max: COUNT - 1 })), (indexes) => {
        const spans: Span[] = [];
        for (const index of indexes) addIndex(spans, index);
        const held = Array.from({ length: COUNT }, (_, index) => index).filter((index) =>
          hasIndex(spans, index),
        );
        expect(held).to.deep.equal([...new Set(indexes)].sort((left, right) => left - right));
        const starts = held.filter((index) => !hasIndex(spans, index - 1));
        expect(spans.map(([first]) => first)).to.deep.equal(starts);
      }),
      { seed: 20_261_206 },
    );
  });
});
