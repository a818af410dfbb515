/**
 * Derives the scheduling policy from what the operators weigh most.
 */
import type { WorkClass } from '../model/index.js';
import { firstComeFirstServed, weightedDominantShare, type OrderingPolicy } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type PlacementPolicy } from './placement.js';

/** How much waiting time, shares and packing matter in relation to each other. */
export interface PolicyWeights {
  readonly waiting: number;
  readonly share: number;
  readonly packing: number;
}

export interface SchedulingPolicy {
  readonly order: OrderingPolicy;
  readonly placements: Readonly<Record<WorkClass, PlacementPolicy>>;
}

/**
 * Packing fills workers one after the other, which keeps room for large tasks; otherwise
 * interactive work goes to the least loaded worker, where it shares processors with the fewest
 * others. Without a weight for shares, teams are served in the order of arrival.
 */
export function choosePolicy({ waiting, share, packing }: PolicyWeights): SchedulingPolicy {
  return {
    order: share > 0 ? weightedDominantShare : firstComeFirstServed,
    placements: {
      interactive: packing > waiting ? bestFit : leastLoaded,
      batch: bestFit,
      gang: bestFit,
      service: spreadRacks,
    },
  };
}
