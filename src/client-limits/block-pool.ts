/**
 * Blocks of memory that are used again. Buffers outside the heap stay resident until the next garbage collection, so bodies
 * that come and go quickly would take several times their bytes.
 */

export const BLOCK_BYTES = 65_536;
/** 8 MB, where no limit is known; blocks beyond it are left to the garbage collection. */
const MAX_KEPT_BLOCKS = 128;

export interface BlockPool {
  take(): Uint8Array;
  /** Returns a block that is not used any more. */
  give(block: Uint8Array): void;
}

export function createBlockPool(maxKept = MAX_KEPT_BLOCKS): BlockPool {
  const kept: Uint8Array[] = [];
  return {
    take: () => kept.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES),
    give: (block) => {
      if (kept.length < maxKept) kept.push(block);
    },
  };
}
