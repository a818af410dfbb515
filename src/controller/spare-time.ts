/**
 * Tells whether the leader has time to spare. Learning speeds and placing by them take time that a leader at
 * its limit needs for starts: it then learns nothing and takes all workers to be alike, until it has time again.
 */

export interface SpareTime {
  readonly isLeft: boolean;
  close(): void;
}

export interface SpareTimeOptions {
  /** Share of the time since its last call in which the event loop had work. */
  readonly utilization?: () => number;
  readonly intervalMs?: number;
}

const INTERVAL_MS = 500;
/** Bursts fill the time of a leader within about a second from here on. */
const BUSY_SHARE = 0.8;
/** Well below, so that what is saved does not bring the cost back at once. */
const SPARE_SHARE = 0.65;

export function createSpareTime(options: SpareTimeOptions = {}): SpareTime {
  const { utilization = createUtilizationMeter(), intervalMs = INTERVAL_MS } = options;
  let isLeft = true;

  const timer = setInterval(() => {
    const share = utilization();
    if (share >= BUSY_SHARE) isLeft = false;
    else if (share < SPARE_SHARE) isLeft = true;
  }, intervalMs);
  timer.unref();

  return {
    get isLeft() {
      return isLeft;
    },
    close: () => {
      clearInterval(timer);
    },
  };
}

/** Returns a function that tells the share of the time since its last call in which the event loop had work. */
export function createUtilizationMeter(): () => number {
  let last = performance.eventLoopUtilization();
  return () => {
    const next = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(next, last);
    last = next;
    return utilization;
  };
}
