/**
 * The leader's clock for objectives and ages of jobs. It starts at the time of day and then follows the monotonic clock,
 * so that neither a step of this host's time of day nor those of other hosts change which work counts as late.
 */

export interface TermClockOptions {
  /** Unix milliseconds. */
  readonly timeOfDay?: () => number;
  /** Monotonic milliseconds. */
  readonly monotonic?: () => number;
}

/** Returns a function that reads the clock, in milliseconds. */
export function createTermClock(options: TermClockOptions = {}): () => number {
  const { timeOfDay = Date.now, monotonic = () => performance.now() } = options;
  const offset = timeOfDay() - monotonic();
  return () => offset + monotonic();
}

/**
 * When a job was accepted, on the leader's clock. The host that announces a job knows its age, whatever the time of day is
 * there. The record of another job has only that host's time of day, which is not in the future.
 */
export function acceptedOnTermClock(
  job: { readonly acceptedAtMs: number },
  { nowMs, ageMs }: { readonly nowMs: number; readonly ageMs: number | undefined },
): number {
  return ageMs === undefined ? Math.min(job.acceptedAtMs, nowMs) : nowMs - Math.max(0, ageMs);
}
