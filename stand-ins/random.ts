/**
 * Seeded pseudorandom numbers for the soak, benchmarks and tests, so that a run can be repeated.
 */

/** Returns a number in [0, 1). */
export type Random = () => number;

/** Creates a Mulberry32 generator. */
export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}
