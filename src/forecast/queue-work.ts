/**
 * Learns how the real work of a queue's tasks relates to the estimates of its callers: a regression of the logarithm of
 * the work on that of the estimate, which forgets. Inaccurate estimates of jobs of unlike size make its slope less than
 * 1: the largest estimates are more often too large than too small.
 *
 * The correction is shrunk towards none, so that few samples change little, and it is used only while it would have
 * predicted the recent work better than the estimates themselves.
 */
import type { WorkBelief } from './worker-speeds.js';

/** Number of steps that are remembered; about ten seconds of a busy queue. */
const MEMORY_STEPS = 300;
/** The correction is shrunk as by this many steps with an exact estimate. */
const SHRINKAGE_STEPS = 6;
/** Variance of the estimates of those steps, which bounds the slope of few samples. */
const SHRINKAGE_VARIANCE = 0.25;
/** Assumed error of estimates before any is known: within 90 %, uniform, has a logarithmic deviation of about 0.6. */
const INITIAL_VARIANCE = 0.5 ** 2;
/** Least variance: no caller knows the run time of a task better than within some percent. */
const MIN_VARIANCE = 0.05 ** 2;
const MIN_SLOPE = 0.1;
const MAX_SLOPE = 1.3;
/** Largest correction: a factor of 5 in both directions. */
const MAX_CORRECTION = Math.log(5);
/** Largest difference between work and estimate that is learned from: a factor of 20. */
const MAX_DIFFERENCE = Math.log(20);
/** Estimates beyond this many deviations from the mean are corrected as those at the bound. */
const MAX_DEVIATIONS = 2.5;

/** Decaying sums over samples; `x` is the logarithm of the estimate, `z` that of real work over estimate. */
export interface QueueWork {
  weight: number;
  x: number;
  z: number;
  xx: number;
  xz: number;
  /** Squared errors of the estimates, and of the corrected ones, each before it was learned from. */
  estimateError: number;
  correctedError: number;
}

export interface Correction {
  readonly mean: number;
  readonly deviation: number;
  /** Logarithm of real work over estimate for the mean estimate, and its change with the estimate. */
  readonly shift: number;
  readonly tilt: number;
  /** Variance of the real work around what is expected. */
  readonly variance: number;
  readonly steps: number;
}

export const NO_CORRECTION: Correction = {
  mean: 0,
  deviation: 0,
  shift: 0,
  tilt: 0,
  variance: INITIAL_VARIANCE,
  steps: 0,
};

export function createQueueWork(): QueueWork {
  return { weight: 0, x: 0, z: 0, xx: 0, xz: 0, estimateError: 0, correctedError: 0 };
}

/** Learns from one task with the given logarithms of estimate and work; `share` is the task's part of its step. */
export function learnWork(sums: QueueWork, x: number, work: number, share: number): void {
  const z = Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, work - x));
  const error = z - correctionOf(fit(sums), x);
  const decay = Math.exp(-share / MEMORY_STEPS);
  sums.weight = sums.weight * decay + share;
  sums.x = sums.x * decay + share * x;
  sums.z = sums.z * decay + share * z;
  sums.xx = sums.xx * decay + share * x * x;
  sums.xz = sums.xz * decay + share * x * z;
  sums.estimateError = sums.estimateError * decay + share * z * z;
  sums.correctedError = sums.correctedError * decay + share * error * error;
}

/** The correction to use at present. */
export function correctionFrom(sums: QueueWork): Correction {
  const fitted = fit(sums);
  if (sums.correctedError < sums.estimateError) return fitted;
  return { ...NO_CORRECTION, variance: varianceOf(sums, sums.estimateError), steps: sums.weight };
}

/** What the work of a task with this estimate is expected to be; both are logarithms. */
export function predictWork(correction: Correction, x: number): WorkBelief {
  return { work: x + correctionOf(correction, x), variance: correction.variance };
}

function correctionOf({ mean, deviation, shift, tilt }: Correction, x: number): number {
  const bound = MAX_DEVIATIONS * deviation;
  const offset = Math.max(-bound, Math.min(bound, x - mean));
  return Math.max(-MAX_CORRECTION, Math.min(MAX_CORRECTION, shift + tilt * offset));
}

function fit(sums: QueueWork): Correction {
  const { weight } = sums;
  if (weight === 0) return NO_CORRECTION;
  const mean = sums.x / weight;
  const spread = Math.max(0, sums.xx / weight - mean * mean);
  const covariance = sums.xz - (sums.x * sums.z) / weight;
  const tilt = covariance / (weight * spread + SHRINKAGE_STEPS * SHRINKAGE_VARIANCE);
  return {
    mean,
    deviation: Math.sqrt(spread),
    shift: sums.z / (weight + SHRINKAGE_STEPS),
    tilt: Math.max(MIN_SLOPE - 1, Math.min(MAX_SLOPE - 1, tilt)),
    variance: varianceOf(sums, sums.correctedError),
    steps: weight,
  };
}

function varianceOf({ weight }: QueueWork, error: number): number {
  const shrunk = (error + SHRINKAGE_STEPS * INITIAL_VARIANCE) / (weight + SHRINKAGE_STEPS);
  return Math.max(MIN_VARIANCE, shrunk);
}
