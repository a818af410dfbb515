/**
 * Jobs that can never run, or not for long, beside jobs that can: whatever their order, each sound job starts once there
 * is room for it.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import type { Fate, SimulatedJob } from './simulated-cell.js';
import { simulate } from './simulated-cell.js';

const SEED = 20261205;
/** Tickets obtained at the beginning have expired by then. */
const OPEN_AT_MS = 4000;
const UNTIL_MS = 60_000;

type Shape = Omit<SimulatedJob, 'name' | 'fate'>;

const drawShape = (gang: fc.Arbitrary<boolean>): fc.Arbitrary<Shape> =>
  fc.record({
    gang,
    count: fc.integer({ min: 1, max: 3 }),
    cores: fc.integer({ min: 2, max: 4 }),
  });

/** Jobs of which up to a half have one of the given fates, in any order. */
function drawJobs(
  fates: readonly Fate[],
  { gang = fc.boolean() }: { readonly gang?: fc.Arbitrary<boolean> } = {},
): fc.Arbitrary<SimulatedJob[]> {
  const shape = drawShape(gang);
  const hopeless = fc.tuple(fc.constantFrom(...fates), shape);
  return fc
    .tuple(fc.array(shape, { minLength: 1, maxLength: 24 }), fc.array(hopeless, { maxLength: 24 }))
    .map(([sound, others]) => [
      ...sound.map((shape): [Fate, Shape] => ['sound', shape]),
      ...others.slice(0, sound.length),
    ])
    .chain((drawn) => fc.shuffledSubarray(drawn, { minLength: drawn.length }))
    .map((drawn) =>
      drawn.map(([fate, shape], index) => ({ name: `job-${String(index)}`, fate, ...shape })),
    );
}

describe('sound jobs among hopeless ones', () => {
  async function expectAllSoundToRun(jobs: readonly SimulatedJob[]) {
    const { unfinished, idleMs } = await simulate(jobs, {
      openAtMs: OPEN_AT_MS,
      untilMs: UNTIL_MS,
    });
    expect(unfinished).to.deep.equal([]);
    expect(idleMs).to.be.lessThan(3000);
  }

  describe('that fit nowhere, wait for a limit or are allowed nowhere', () => {
    // Six steps that could not start took all renewals of tickets, and accepted jobs behind them never started.
    it('start once there is room, in any order and with any share of hopeless jobs up to a half', async () => {
      const jobs = drawJobs(['oversized', 'unlabelled', 'elsewhere', 'limited', 'over-limit']);
      await fc.assert(fc.asyncProperty(jobs, expectAllSoundToRun), { seed: SEED, numRuns: 100 });
    });
  });

  describe('that fail wherever they run', () => {
    // The failures of hopeless jobs excluded all workers at once, for up to 12 s each time.
    for (const [kind, gang] of [
      ['jobs of all kinds', fc.boolean()],
      ['gangs only', fc.constant(true)],
    ] as const) {
      it(`start once there is room, with ${kind}`, async () => {
        const property = fc.asyncProperty(drawJobs(['failing'], { gang }), expectAllSoundToRun);
        await fc.assert(property, { seed: SEED, numRuns: 100 });
      });
    }
  });
});
