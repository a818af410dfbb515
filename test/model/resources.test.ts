import { expect } from 'chai';
import fc from 'fast-check';
import {
  addResources,
  dominantShare,
  fitsWithin,
  subtractResources,
} from '../../src/model/index.js';

const amounts = fc.record({
  processors: fc.double({ min: 0, max: 64, noNaN: true }),
  memoryMb: fc.integer({ min: 0, max: 131_072 }),
  accelerators: fc.integer({ min: 0, max: 8 }),
});

describe('resources', () => {
  describe('fitsWithin', () => {
    it('rejects a size that exceeds any single resource, so that no worker is overcommitted', () => {
      const free = { processors: 4, memoryMb: 1024, accelerators: 1 };
      expect(fitsWithin({ processors: 5, memoryMb: 1, accelerators: 0 }, free)).to.equal(false);
      expect(fitsWithin({ processors: 1, memoryMb: 1025, accelerators: 0 }, free)).to.equal(false);
      expect(fitsWithin({ processors: 1, memoryMb: 1, accelerators: 2 }, free)).to.equal(false);
      expect(fitsWithin({ processors: 4, memoryMb: 1024, accelerators: 1 }, free)).to.equal(true);
    });

    it('accepts the original amount after an addition and a subtraction, despite rounding', () => {
      fc.assert(
        fc.property(amounts, amounts, (free, size) => {
          const restored = subtractResources(addResources(free, size), size);
          expect(fitsWithin(free, restored)).to.equal(true);
        }),
        { seed: 1 },
      );
    });
  });

  describe('dominantShare', () => {
    it('ignores a resource that the cell lacks, instead of dividing by zero', () => {
      const total = { processors: 10, memoryMb: 100, accelerators: 0 };
      expect(dominantShare({ processors: 5, memoryMb: 10, accelerators: 0 }, total)).to.equal(0.5);
    });
  });
});
