/**
 * A hybrid logical clock: wall-clock milliseconds with a counter. A read returns a greater time than
 * every earlier read in the same process and every message received before, even if the wall clocks
 * disagree or step back.
 */

/** A timestamp of a hybrid logical clock. */
export interface HybridTime {
  /** Greatest wall-clock time that the process has seen, in milliseconds since the epoch. */
  readonly ms: number;
  /** Orders times with equal milliseconds. */
  readonly counter: number;
}

/** The clock of one process. */
export interface HybridClock {
  /** Returns the time of a local event or of a message that is about to be sent. */
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
