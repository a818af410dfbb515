/**
 * Budget of bytes that all clients of a host share: unfinished bodies and messages, bodies in progress and unread
 * responses. When it is used up, what has been unfinished for longest is given up for new clients.
 */

import { BLOCK_BYTES, createBlockPool } from './block-pool.js';
import type { BlockPool } from './block-pool.js';

/** Something unfinished whose bytes are charged to the budget. */
export interface UnfinishedItem {
  /** Gives the item up and returns its charge at once. */
  abandon(): void;
}

export interface ByteBudget {
  readonly limit: number;
  readonly used: number;
  /** Memory for unfinished bodies; taking a block does not charge it. */
  readonly blocks: BlockPool;
  /**
   * Charges the bytes; returns false and charges nothing if there is no room and none can be made. The requester is not
   * given up for itself.
   */
  reserve(bytes: number, requester?: UnfinishedItem): boolean;
  release(bytes: number): void;
  /** Allows the item to be given up; returns the function that ends this. */
  addUnfinished(item: UnfinishedItem): () => void;
}

export interface ByteBudgetOptions {
  readonly now?: () => number;
  /** Time in milliseconds for which an unfinished item is not given up. */
  readonly protectedMs?: number;
}

/**
 * Part of the limit that is kept in unused blocks. Bodies that are given up for others return all their blocks at once, and
 * those that are not kept stay resident beside the new bodies' blocks until the next garbage collection.
 */
const KEPT_SHARE = 1 / 2;
/** A body of the largest usual size arrives in less on a network that is of use to callers, which wait up to 3 s. */
const PROTECTED_MS = 1000;

export function createByteBudget(limit: number, options: ByteBudgetOptions = {}): ByteBudget {
  const { now = () => performance.now(), protectedMs = PROTECTED_MS } = options;
  /** Start of each unfinished item, oldest first. */
  const unfinished = new Map<UnfinishedItem, number>();
  let used = 0;

  /** Returns whether an item was given up. */
  function abandonOldest(requester: UnfinishedItem | undefined): boolean {
    const [oldest] = unfinished;
    if (oldest === undefined) return false;
    const [item, since] = oldest;
    if (item === requester || now() - since < protectedMs) return false;
    unfinished.delete(item);
    item.abandon();
    return true;
  }

  return {
    limit,
    blocks: createBlockPool(
      Number.isFinite(limit) ? Math.ceil((limit * KEPT_SHARE) / BLOCK_BYTES) : undefined,
    ),
    get used() {
      return used;
    },
    reserve: (bytes, requester) => {
      if (bytes > limit) return false;
      while (used + bytes > limit) if (!abandonOldest(requester)) return false;
      used += bytes;
      return true;
    },
    release: (bytes) => {
      used -= bytes;
    },
    addUnfinished: (item) => {
      unfinished.set(item, now());
      return () => {
        unfinished.delete(item);
      };
    },
  };
}
