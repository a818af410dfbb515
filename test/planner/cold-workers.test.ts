/**
 * Guards against urgent work on workers that are slow for a while although others have room, and against work that waits
 * because only such workers have room.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { planRound } from '../../src/planner/index.js';
import type { CandidateWorker, WaitingStep } from '../../src/planner/index.js';
import { amount, candidate, waiting } from './support.js';

function workersOf(workers: readonly CandidateWorker[], steps: readonly WaitingStep[]) {
  const placements = planRound({ nowMs: 0, workers, steps, budgets: new Map() });
  return placements.map(({ step, task, worker }) => `${step.key}.${String(task)} on ${worker}`);
}

describe('cold workers', () => {
  for (const priority of [0, 1]) {
    it(`get work of priority ${String(priority)} only if no warm worker has room`, () => {
      const workers = [
        // The fullest worker would be the first choice.
        candidate('cold', { free: amount(2), cold: true }),
        candidate('warm', { room: amount(2) }),
      ];
      const steps = [waiting('a', { priority, tasks: [0, 1, 2] })];
      expect(workersOf(workers, steps)).to.deep.equal([
        'a.0 on warm',
        'a.1 on warm',
        'a.2 on cold',
      ]);
    });
  }

  const remote = candidate('remote', { rack: 'r2' });
  const coldLocal = () => candidate('local', { rack: 'r1', cold: true });
  const cases = [
    { work: 'urgent work', fields: { priority: 0 }, chosen: 'remote' },
    { work: 'a gang', fields: { gang: true }, chosen: 'remote' },
    { work: 'other work', fields: {}, chosen: 'local' },
  ];
  for (const { work, fields, chosen } of cases) {
    it(`compare with remote workers for ${work} as ${chosen}`, () => {
      const steps = [waiting('a', { ...fields, dataRack: 'r1' })];
      const workers = [coldLocal(), { ...remote }];
      expect(workersOf(workers, steps)).to.deep.equal([`a.0 on ${chosen}`]);
    });
  }

  it('hold a gang that fits nowhere else', () => {
    const workers = [candidate('c1', { cold: true }), candidate('c2', { cold: true })];
    const steps = [waiting('a', { gang: true, tasks: [0, 1], size: amount(32) })];
    expect(workersOf(workers, steps)).to.have.length(2);
  });

  // Without cold workers, or with cold ones alone, no placement may change.
  it('change no placement unless some are cold and some are not', () => {
    const drawnWorker = fc.record({ room: fc.integer({ min: 1, max: 16 }), rack: fc.nat(2) });
    const drawnStep = fc.record({
      cores: fc.integer({ min: 1, max: 6 }),
      count: fc.integer({ min: 1, max: 4 }),
      gang: fc.boolean(),
      priority: fc.nat(1),
    });
    const cell = fc.record({
      workers: fc.array(drawnWorker, { minLength: 1, maxLength: 8 }),
      steps: fc.array(drawnStep, { minLength: 1, maxLength: 8 }),
    });
    fc.assert(
      fc.property(cell, ({ workers, steps }) => {
        const plan = (fields: Partial<CandidateWorker>) =>
          workersOf(
            workers.map(({ room, rack }, index) =>
              candidate(`w${String(index)}`, {
                room: amount(room),
                rack: `r${String(rack)}`,
                ...fields,
              }),
            ),
            steps.map(({ cores, count, gang, priority }, index) =>
              waiting(`s${String(index)}`, {
                size: amount(cores),
                tasks: Array.from({ length: count }, (_, task) => task),
                gang,
                priority,
                dataRack: index % 2 === 0 ? 'r1' : undefined,
              }),
            ),
          );
        const present = plan({});
        expect(plan({ cold: false })).to.deep.equal(present);
        expect(plan({ cold: true })).to.deep.equal(present);
      }),
      { seed: 20_261_207, numRuns: 500 },
    );
  });
});
