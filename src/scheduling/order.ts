/**
 * Orders choose the team that is served next within a class.
 */
import type { WorkClass } from '../model/index.js';

/** The queue of one team and class as orders see it; never empty when an order sees it. */
export interface TeamQueue {
  readonly team: string;
  readonly class: WorkClass;
  readonly length: number;
  /** Submission time of the first request, in milliseconds since the epoch. */
  readonly oldest: number;
  /** Weight of the team. */
  readonly share: number;
  /** Fraction of the cell that the team uses in its dominant resource, here and elsewhere. */
  readonly dominantShare: number;
}

/** Chooses the queue to try next, or undefined if none of them may start work. */
export type OrderingPolicy = (queues: readonly TeamQueue[]) => TeamQueue | undefined;

export const firstComeFirstServed: OrderingPolicy = (queues) => {
  let best: TeamQueue | undefined;
  for (const queue of queues) if (!best || queue.oldest < best.oldest) best = queue;
  return best;
};

/** The team with the lowest use for its weight; among equals, the one that has waited longest. */
export const weightedDominantShare: OrderingPolicy = (queues) => {
  let best: TeamQueue | undefined;
  let bestShare = Infinity;
  for (const queue of queues) {
    const share = queue.share > 0 ? queue.dominantShare / queue.share : Infinity;
    if (best && (share > bestShare || (share === bestShare && queue.oldest >= best.oldest))) {
      continue;
    }
    best = queue;
    bestShare = share;
  }
  return best;
};

/** First come, first served among the teams below a fixed part of the cell; nothing is lent. */
export function createStaticPartition(totalShare: number): OrderingPolicy {
  return (queues) =>
    firstComeFirstServed(
      queues.filter(
        ({ dominantShare, share }) => dominantShare === 0 || dominantShare < share / totalShare,
      ),
    );
}
