/**
 * Counts the steps that a planning round has left waiting, by what kept them from workers.
 */
import type { PlacementBarrier, WaitingStep } from '../planner/index.js';

/** `untried`: the round did not get to the step. */
export type BlockedSteps = Readonly<Partial<Record<PlacementBarrier | 'untried', number>>>;

export function countBlockedSteps(
  waiting: readonly Pick<WaitingStep, 'key' | 'constraint'>[],
  barriers: ReadonlyMap<string, PlacementBarrier>,
): BlockedSteps {
  const counts: Partial<Record<PlacementBarrier | 'untried', number>> = {};
  for (const { key, constraint } of waiting) {
    const barrier = constraint?.known === false ? 'permit' : (barriers.get(key) ?? 'untried');
    counts[barrier] = (counts[barrier] ?? 0) + 1;
  }
  return counts;
}
