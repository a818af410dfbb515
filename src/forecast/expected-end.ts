/**
 * When a run is expected to end, from its start, its expected duration and its reported progress.
 */

/** Progress is reported in whole percents; this is the deviation of the rounding. */
const PERCENT_DEVIATION = 0.3;
/** A run does not progress quite evenly. */
const PROGRESS_DEVIATION = 0.02;
/** A run that exceeds its expectation goes on for about this part of the deviation of its duration. */
const OVERRUN_SHARE = 0.6;
/** Least time that a run is expected to continue; its end is known about this late. */
const MIN_REST_MS = 20;

export interface RunForecastInput {
  readonly nowMs: number;
  readonly startedAtMs: number;
  /** Expected duration on the run's worker, and the variance of its logarithm. */
  readonly expectedMs: number;
  readonly variance: number;
  /** Percent at the last report with a change, and the milliseconds from the start to that report. */
  readonly percent: number;
  readonly percentAfterMs: number;
}

/** Expected end of a run, on the clock of `nowMs`. */
export function expectEnd(input: RunForecastInput): number {
  const { nowMs, startedAtMs, percent, percentAfterMs } = input;
  let { variance } = input;
  let duration = Math.log(Math.max(1, input.expectedMs));
  if (percent > 0 && percentAfterMs > 0) {
    // A whole percent stands for anything up to the next one.
    const done = Math.min(1, (percent + 0.5) / 100);
    const reported = Math.log(percentAfterMs / done);
    const reportedVariance = (PERCENT_DEVIATION / (percent + 0.5)) ** 2 + PROGRESS_DEVIATION ** 2;
    const share = variance / (variance + reportedVariance);
    duration += share * (reported - duration);
    variance *= 1 - share;
  }
  const elapsedMs = nowMs - startedAtMs;
  const restMs = Math.max(MIN_REST_MS, OVERRUN_SHARE * Math.sqrt(variance) * elapsedMs);
  return Math.max(startedAtMs + Math.exp(duration), nowMs + restMs);
}
