/**
 * Learns the speeds of workers by comparing runs of the same step, whose tasks have nearly the same work.
 *
 * The logarithm of a run's duration is that of the task's work minus that of the worker's speed. Each end is compared
 * with what the earlier ends of its step and the step's estimate lead to expect, and the difference is divided by a
 * Kalman filter between the workers that took part, each in proportion to its uncertainty. Correlations between workers
 * are left out, so that an end costs as many operations as its step has recent ends.
 *
 * All values are natural logarithms on a scale that is common to a service. Only differences of speeds on this scale
 * have a meaning; `forecast.ts` relates it to the median worker.
 */

/** Standard deviation of the work of tasks of a step: uniform within 15 % has 0.087; leaves room for skewed work. */
const TASK_DEVIATION = 0.12;
/** Error of the duration of a run. The end of a run is known within about 20 ms. */
const MEASUREMENT_MS = 15;
/** Standard deviation of speeds before anything is known; workers at 0.7 and 1.7 are 0.89 apart. */
const INITIAL_DEVIATION = 0.5;
/** Growth of the variance with each end, so that slow changes are followed: about the last 12 ends count. */
const DRIFT_VARIANCE = 0.01 ** 2;
/** A difference beyond this many standard deviations is bounded, unless the next one of the worker confirms it. */
const SURPRISE = 3;
/** Largest difference that is learned from at once: a factor of 20. */
const MAX_DIFFERENCE = Math.log(20);
/** Ends of a step that are compared with the next one; bounds the cost of an end. */
const MAX_COMPARED_ENDS = 32;

/** The speed of one incarnation of a worker. */
export interface SpeedState {
  speed: number;
  variance: number;
  /** Number of runs that were learned from. */
  ends: number;
  /** Sign of the last difference if it was a surprise, else 0. */
  surprise: number;
}

interface ComparedEnd {
  readonly duration: number;
  readonly noise: number;
  readonly worker: SpeedState;
}

/** What is known of the work of a step's tasks. */
export interface StepState {
  /** Work by the corrected estimate; undefined if the caller has given none. */
  readonly prior: WorkBelief | undefined;
  readonly ends: ComparedEnd[];
}

export interface WorkBelief {
  readonly work: number;
  readonly variance: number;
}

export function createSpeedState(speed: number): SpeedState {
  return { speed, variance: INITIAL_DEVIATION ** 2, ends: 0, surprise: 0 };
}

/** The work of a further task of the step; undefined if nothing is known. */
export function believeWork({ prior, ends }: StepState): WorkBelief | undefined {
  let precision = prior === undefined ? 0 : 1 / prior.variance;
  let sum = prior === undefined ? 0 : prior.work / prior.variance;
  for (const end of ends) {
    const weight = weightOf(end);
    precision += weight;
    sum += weight * (end.duration + end.worker.speed);
  }
  if (precision === 0) return undefined;
  return { work: sum / precision, variance: 1 / precision + TASK_DEVIATION ** 2 };
}

/** Learns from a run of `tookMs`, and adds it to those of its step. */
export function learnEnd(step: StepState, worker: SpeedState, tookMs: number): void {
  compareRun(step, worker, tookMs);
  const noise = noiseOf(tookMs);
  step.ends.push({ duration: Math.log(tookMs), noise, worker });
  if (step.ends.length > MAX_COMPARED_ENDS) step.ends.shift();
}

/** Learns the worker's speed from a run that takes `tookMs`, which is not added to those of its step. */
export function compareRun(step: StepState, worker: SpeedState, tookMs: number): void {
  worker.ends += 1;
  worker.variance = Math.min(worker.variance + DRIFT_VARIANCE, INITIAL_DEVIATION ** 2);
  const belief = believeWork(step);
  if (belief === undefined) return;
  const taskVariance = TASK_DEVIATION ** 2;
  const stepVariance = belief.variance - taskVariance;
  const otherVariance = noiseOf(tookMs) + stepVariance;
  const difference = belief.work - Math.log(tookMs) - worker.speed;
  const applied = judgeDifference(worker, difference, otherVariance);
  const total = worker.variance + otherVariance;
  const share = worker.variance / total;
  worker.speed += share * applied;
  worker.variance *= 1 - share;
  for (const end of step.ends) {
    if (end.worker === worker) continue;
    const { variance } = end.worker;
    const otherShare = (weightOf(end) * stepVariance * variance) / total;
    end.worker.speed -= otherShare * applied;
  }
}

/**
 * Bounds a surprising difference, which may have a cause of its own. The second one in the same direction shows that the
 * worker itself has changed, and what was known of it counts no longer.
 */
function judgeDifference(worker: SpeedState, difference: number, otherVariance: number): number {
  const bound = SURPRISE * Math.sqrt(worker.variance + otherVariance);
  const direction = Math.abs(difference) > bound ? Math.sign(difference) : 0;
  const confirmed = direction !== 0 && worker.surprise === direction;
  worker.surprise = confirmed ? 0 : direction;
  if (confirmed) {
    worker.variance = INITIAL_DEVIATION ** 2;
    return Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
  }
  return direction === 0 ? difference : direction * bound;
}

function noiseOf(tookMs: number): number {
  return TASK_DEVIATION ** 2 + Math.min(1, MEASUREMENT_MS / tookMs) ** 2;
}

function weightOf({ noise, worker }: ComparedEnd): number {
  return 1 / (noise + worker.variance);
}
