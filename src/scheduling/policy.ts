/**
 * Derives the scheduling policy from what the operators weigh most.
 */
import type { WorkClass } from '../model/index.js';
import { firstComeFirstServed, weightedDominantShare, type Order } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type Placement } from './placement.js';

/** How much waiting time, shares and packing matter in relation to each other. */
export interface Weights {
  readonly waiting: number;
  readonly share: number;
  readonly packing: number;
}

export interface Policy {
  readonly order: Order;
  readonly placements: Readonly<Record<WorkClass, Placement>>;
}

/**
 * Packing fills workers one after the other, which keeps room for large tasks; otherwise
 * interactive work goes to the least loaded worker, where it shares processors with the fewest
 * others. Without a weight for shares, teams are served in the order of arrival.
 */
export function choosePolicy({ waiting, share, packing }: Weights): Policy {
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
