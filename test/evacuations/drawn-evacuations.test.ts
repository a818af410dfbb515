/**
 * Drawn sequences of requests, removals, changes of leader and late orders, without a network.
 *
 * Guards against a task that starts in an evacuated data centre after the bound, and against work that is withheld after
 * the removal is known.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { createPlay, sequence } from './simulated-evacuations.js';

const SEED = Number(process.env.SEED ?? 20_261_207);
const SEQUENCES = Number(process.env.SCENARIOS ?? 3000);

describe('drawn evacuations', () => {
  it('let no task start after the bound, and withhold none after the removal', () => {
    fc.assert(
      fc.property(sequence, (timed) => {
        expect(createPlay().play(timed).violations).to.deep.equal([]);
      }),
      { seed: SEED, numRuns: SEQUENCES },
    );
  }).timeout(120_000);

  // Guards against sequences in which no order gets through, which would say nothing about orders.
  it('let work start before an evacuation is known and once its removal is known', () => {
    const orderNow = {
      kind: 'order',
      dataCentre: 'dc1',
      byFormerLeader: false,
      durableMs: 1,
      travelMs: 1,
      repeatMs: undefined,
      clockErrorMs: 0,
    } as const;
    const { starts, violations } = createPlay().play([
      { afterMs: 0, action: orderNow },
      { afterMs: 0, action: { kind: 'list', delayMs: 0 } },
      { afterMs: 100, action: orderNow },
      { afterMs: 100, action: { kind: 'request', dataCentre: 'dc1' } },
      { afterMs: 100, action: orderNow },
      { afterMs: 100, action: { kind: 'watch', misses: false } },
      { afterMs: 100, action: orderNow },
      { afterMs: 100, action: { kind: 'remove', dataCentre: 'dc1' } },
      { afterMs: 0, action: { kind: 'watch', misses: false } },
      { afterMs: 100, action: orderNow },
    ]);
    expect(starts).to.deep.equal([102, 302, 702]);
    expect(violations).to.deep.equal([]);
  });
});
