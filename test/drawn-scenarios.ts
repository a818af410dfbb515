/**
 * Plays drawn scenarios against a property, many at the same time because they spend their time in pauses. SEED and
 * SCENARIOS in the environment choose other and more ones.
 */
import { expect } from 'chai';
import fc from 'fast-check';

const SEED = Number(process.env.SEED ?? 20_261_205);

export interface DrawnScenarios<Scenario> {
  readonly scenario: fc.Arbitrary<Scenario>;
  /** Returns what broke the property. */
  readonly play: (scenario: Scenario) => Promise<readonly string[]>;
  /** Number of scenarios that are played at the same time. */
  readonly batch: number;
  /** Number of scenarios, unless the environment names another. */
  readonly scenarios: number;
}

export async function expectAllToHold<Scenario>(options: DrawnScenarios<Scenario>): Promise<void> {
  const { scenario, play, batch } = options;
  const scenarios = Number(process.env.SCENARIOS ?? options.scenarios);
  await fc.assert(
    fc.asyncProperty(fc.array(scenario, { minLength: batch, maxLength: batch }), async (drawn) => {
      const played = await Promise.all(drawn.map((one) => play(one)));
      const broken = drawn
        .map((one, index) => ({ scenario: one, violations: played[index] ?? [] }))
        .filter(({ violations }) => violations.length > 0)
        .slice(0, 3);
      expect(broken, JSON.stringify(broken)).to.deep.equal([]);
    }),
    // Shrinking would play each smaller batch in real time.
    { seed: SEED, numRuns: Math.ceil(scenarios / batch), endOnFailure: true },
  );
}
