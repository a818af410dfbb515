import { expect } from 'chai';
import fc from 'fast-check';
import {
  addResources,
  addTasks,
  dominantShare,
  fitsWithin,
  NO_RESOURCES,
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

  describe('addTasks', () => {
    const thousandths = fc.integer({ min: 1, max: 64_000 });

    // A rest of 1e-15 cores kept a job that needs its team's whole limit from ever starting.
    it('leaves nothing once all tasks have ended, whatever their sizes and order', () => {
      fc.assert(
        fc.property(
          fc.array(thousandths, { maxLength: 200 }),
          fc.infiniteStream(fc.nat()),
          (sizes, order) => {
            const tasks = sizes.map((cpu) => ({
              processors: cpu / 1000,
              memoryMb: 1,
              accelerators: 0,
            }));
            let used = tasks.reduce((sum, size) => addTasks(sum, size, 1), NO_RESOURCES);
            expect(used.processors).to.equal(sizes.reduce((sum, cpu) => sum + cpu, 0) / 1000);
            while (tasks.length > 0) {
              const [ended] = tasks.splice((order.next().value ?? 0) % tasks.length, 1);
              if (ended !== undefined) used = addTasks(used, ended, -1);
            }
            expect(used).to.deep.equal(NO_RESOURCES);
          },
        ),
        { seed: 20261205 },
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
