/**
 * Ordering policies choose the team whose queue is served next within a class.
 */
import type { WorkClass } from '../model/index.js';

/** The queue of one team and class as ordering policies see it; they see no empty queues. */
export interface TeamQueue {
  readonly team: string;
  readonly class: WorkClass;
  readonly length: number;
  /** Submission time of the request at the head, in milliseconds since the epoch. */
  readonly oldest: number;
  /** Weight of the team. */
  readonly share: number;
  /** Fraction of the cell that the team uses of its dominant resource, on all hosts. */
  readonly dominantShare: number;
}

/** Chooses the queue to try next, or undefined if none of them may start work. */
export type OrderingPolicy = (queues: readonly TeamQueue[]) => TeamQueue | undefined;

export const firstComeFirstServed: OrderingPolicy = (queues) => {
  let best: TeamQueue | undefined;
  for (const queue of queues) if (!best || queue.oldest < best.oldest) best = queue;
  return best;
};

/**
 * Weighted dominant resource fairness: the team with the lowest dominant share relative to its
 * weight; among equals, the one that has waited longest.
 */
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

/**
 * First come, first served among the teams below their fixed part of the cell. Unused parts are not
 * lent to other teams.
 */
export function createStaticPartition(totalShare: number): OrderingPolicy {
  return (queues) =>
    firstComeFirstServed(
      queues.filter(
        ({ dominantShare, share }) => dominantShare === 0 || dominantShare < share / totalShare,
      ),
    );
}
