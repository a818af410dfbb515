/**
 * A hybrid logical clock: wall-clock milliseconds with a counter. A time that was read after another
 * one in the same process, or after a message that carried the other one, is always greater, even if
 * the wall clocks disagree or step back.
 */

/** A point in hybrid time. */
export interface HybridTime {
  /** The greatest wall-clock time seen by the process, in milliseconds since the epoch. */
  readonly ms: number;
  /** Orders times with equal milliseconds. */
  readonly counter: number;
}

/** The clock of one process. */
export interface HybridClock {
  /** The time of a local event or of a message that is about to be sent. */
  tick(): HybridTime;
  /** Advances the clock past the time of a received message. */
  receive(remote: HybridTime): HybridTime;
}

export function createHybridClock(now: () => number): HybridClock {
  let last: HybridTime = { ms: 0, counter: 0 };

  function advance(seen: HybridTime): HybridTime {
    const wall = Math.floor(now());
    last = wall > seen.ms ? { ms: wall, counter: 0 } : { ms: seen.ms, counter: seen.counter + 1 };
    return last;
  }

  return {
    tick: () => advance(last),
    receive: (remote) => advance(compareHybridTimes(remote, last) > 0 ? remote : last),
  };
}

/** Negative if `left` is earlier, positive if it is later. */
export function compareHybridTimes(left: HybridTime, right: HybridTime): number {
  return left.ms - right.ms || left.counter - right.counter;
}
