/**
 * Clock that stands still while the event loop of this process is delayed. While the process is late itself, answers
 * wait in its sockets, so the time says nothing about the one who is to answer: a busy or paused leader must not take
 * its own delay for the silence of hundreds of workers.
 */

/** Interval at which the clock is advanced. */
const TICK_MS = 20;
/** Most that the clock advances between two ticks; timers fire a few milliseconds late at times. */
const MAX_ADVANCE_MS = 30;

export interface ResponsiveClock {
  /** Milliseconds in which this process was able to receive answers. */
  now(): number;
  stop(): void;
}

export interface ResponsiveClockOptions {
  /** This host's monotonic clock in milliseconds. */
  readonly monotonicNow?: () => number;
}

export function createResponsiveClock(options: ResponsiveClockOptions = {}): ResponsiveClock {
  const { monotonicNow = () => performance.now() } = options;
  let advanced = 0;
  let tickedAt = monotonicNow();

  const sinceTick = () => Math.min(MAX_ADVANCE_MS, monotonicNow() - tickedAt);

  const timer = setInterval(() => {
    advanced += sinceTick();
    tickedAt = monotonicNow();
  }, TICK_MS);
  timer.unref();

  return {
    now: () => advanced + sinceTick(),
    stop: () => {
      clearInterval(timer);
    },
  };
}
