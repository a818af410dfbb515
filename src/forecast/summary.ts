/**
 * Summary of what a leader has learned, for the log and the metrics.
 */
import type { Correction } from './queue-work.js';

export type Quantile = 'min' | 'p25' | 'p50' | 'p75' | 'max';

export interface ForecastSummary {
  /** Number of workers whose speed is known. */
  readonly workers: number;
  /** Quantiles of their speeds. */
  readonly speeds: Readonly<Record<Quantile, number>>;
  readonly queues: Readonly<Record<string, QueueSummary>>;
}

export interface QueueSummary {
  /** Work at speed 1 over estimate for the mean estimate. */
  readonly factor: number;
  /** Exponent with which the work grows with the estimate; 1 if estimates are right but for a factor. */
  readonly exponent: number;
  /** Deviation of the logarithm of the work from what is expected by the estimate. */
  readonly deviation: number;
  /** Number of recent steps from which this was learned. */
  readonly steps: number;
}

export function describeForecast(input: {
  readonly speeds: readonly number[];
  readonly queues: readonly {
    readonly name: string;
    readonly correction: Correction;
    readonly median: number;
  }[];
}): ForecastSummary {
  const sorted = input.speeds.toSorted((left, right) => left - right);
  const quantile = (fraction: number) =>
    round(sorted[Math.round(fraction * (sorted.length - 1))] ?? 1);
  return {
    workers: sorted.length,
    speeds: {
      min: quantile(0),
      p25: quantile(0.25),
      p50: quantile(0.5),
      p75: quantile(0.75),
      max: quantile(1),
    },
    queues: Object.fromEntries(
      input.queues.map(({ name, correction, median }) => [name, describeQueue(correction, median)]),
    ),
  };
}

function describeQueue({ shift, tilt, variance, steps }: Correction, median: number): QueueSummary {
  return {
    factor: round(Math.exp(shift - median)),
    exponent: round(1 + tilt),
    deviation: round(Math.sqrt(variance)),
    steps: Math.round(steps),
  };
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
