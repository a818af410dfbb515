/**
 * Derives the scheduling policy from the weights in the operators' settings.
 */
import type { WorkClass } from '../model/index.js';
import { firstComeFirstServed, weightedDominantShare, type OrderingPolicy } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type PlacementPolicy } from './placement.js';

/** Relative weights of short waits, fair shares and dense packing. */
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
 * Packing fills one worker after the other, which keeps capacity free for large tasks. Otherwise,
 * interactive work goes to the least loaded worker, where it competes with the fewest other tasks
 * for processors. Without a weight for shares, requests are served in the order of arrival.
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
