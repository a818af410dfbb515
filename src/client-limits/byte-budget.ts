/**
 * Budget of bytes that all clients of a host share: unfinished bodies and messages, bodies in progress and unread
 * responses.
 */

export interface ByteBudget {
  readonly limit: number;
  readonly used: number;
  /** Charges the bytes; returns false and charges nothing if they exceed the budget. */
  reserve(bytes: number): boolean;
  release(bytes: number): void;
}

export function createByteBudget(limit: number): ByteBudget {
  let used = 0;
  return {
    limit,
    get used() {
      return used;
    },
    reserve: (bytes) => {
      if (used + bytes > limit) return false;
      used += bytes;
      return true;
    },
    release: (bytes) => {
      used -= bytes;
    },
  };
}
