/**
 * What a leader has learned in its term of the speed of workers and the work of tasks. Nothing of it is durable: a new
 * leader takes each worker for one of speed 1 and each estimate for correct until it has seen some ends itself.
 *
 * The ends alone do not tell slow workers from long tasks. Speed 1 is the median worker of a service, and the work of a
 * task is its duration there. The estimates tell it, in the mean over all queues of the service, how long a task takes at
 * the speed for which they are made, the nominal one; see `nominalFactorOf`.
 */
import type { WorkerIncarnation } from '../jobs/index.js';
import type { Correction } from './queue-work.js';
import {
  correctionFrom,
  createQueueWork,
  learnWork,
  NO_CORRECTION,
  predictWork,
} from './queue-work.js';
import type { QueueWork } from './queue-work.js';
import { describeForecast } from './summary.js';
import type { ForecastSummary } from './summary.js';
import type { SpeedState, StepState, WorkBelief } from './worker-speeds.js';
import { believeWork, compareRun, createSpeedState, learnEnd } from './worker-speeds.js';

/** A step whose tasks have the same estimate. */
export interface StepWork {
  /** Unique name of the step. */
  readonly key: string;
  readonly service: string;
  readonly queue: string;
  /** Number of tasks. */
  readonly count: number;
  /** The caller's estimate of one task; 0 if none was given. */
  readonly estimateMs: number;
}

/** Expected duration of a task at speed 1, and the variance of its logarithm. */
export interface ExpectedWork {
  readonly workMs: number;
  readonly variance: number;
}

export interface Forecast {
  /** Learns from a run that was done after `tookMs`; returns its work in milliseconds at speed 1. */
  learnEnd(step: StepWork, worker: WorkerIncarnation, tookMs: number): number;
  /** Learns from a gang that was done after `tookMs`; returns the work of one of its tasks at speed 1. */
  learnGangEnd(step: StepWork, workers: readonly WorkerIncarnation[], tookMs: number): number;
  /**
   * Learns the speed of a worker from a run that has progressed to `percent` in `elapsedMs`, if that shows that the run
   * will take much longer than expected; returns whether it does.
   */
  learnProgress(
    step: StepWork,
    worker: WorkerIncarnation,
    progress: { readonly percent: number; readonly elapsedMs: number },
  ): boolean;
  /** Speed relative to the median worker of the service; 1 if nothing is known. */
  speedOf(worker: WorkerIncarnation): number;
  workOf(step: StepWork): ExpectedWork;
  /** Factor from durations at speed 1 to those at the speed for which estimates are made. */
  nominalFactorOf(service: string): number;
  /** Changes when the forecast of steps without ends may have changed, at most twice a second. */
  readonly revision: number;
  /** Discards what is known of all other workers. */
  retainWorkers(workers: Iterable<WorkerIncarnation>): void;
  summarize(): ForecastSummary;
}

export interface ForecastOptions {
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

interface WorkerState {
  readonly born: number;
  readonly service: string;
  readonly speed: SpeedState;
}

interface ServiceState {
  readonly queues: Map<string, QueueState>;
  /** Logarithm of the median speed of the workers, shrunk towards 0 while few ends are known. */
  median: number;
  ends: number;
  nominalFactor: number;
}

interface QueueState {
  readonly sums: QueueWork;
  correction: Correction;
}

const PUBLISH_INTERVAL_MS = 500;
/** Steps whose ends are remembered; about 40 s of a busy cell, and some megabytes. */
const MAX_STEPS = 4096;
/** Number of ends at which the median of the learned speeds counts half. */
const MEDIAN_SHRINKAGE_ENDS = 20;
/** Likewise the number of steps for the level of the estimates. */
const LEVEL_SHRINKAGE_STEPS = 6;
const MIN_SPEED = 0.05;
const MAX_SPEED = 20;
/** Percent from which progress tells a duration, and the least time; a start takes some time itself. */
const MIN_PERCENT = 3;
const MIN_ELAPSED_MS = 300;
/** A run that will take this many times the expected duration is evidence before its end. */
const SLOW_FACTOR = 2;

export function createForecast(options: ForecastOptions = {}): Forecast {
  const { now = () => performance.now() } = options;
  const workers = new Map<string, WorkerState>();
  const services = new Map<string, ServiceState>();
  const steps = new Map<string, StepState>();
  let publishedAt = -Infinity;
  let revision = 0;

  function serviceState(name: string): ServiceState {
    const known = services.get(name);
    if (known !== undefined) return known;
    const state = { queues: new Map<string, QueueState>(), median: 0, ends: 0, nominalFactor: 1 };
    services.set(name, state);
    return state;
  }

  function queueState({ service, queue }: StepWork): QueueState {
    const { queues } = serviceState(service);
    const known = queues.get(queue);
    if (known !== undefined) return known;
    const state = { sums: createQueueWork(), correction: NO_CORRECTION };
    queues.set(queue, state);
    return state;
  }

  function speedState({ id, born }: WorkerIncarnation, service: string): SpeedState {
    const known = workers.get(id);
    if (known?.born === born) return known.speed;
    const speed = createSpeedState(serviceState(service).median);
    workers.set(id, { born, service, speed });
    return speed;
  }

  function priorOf(step: StepWork): WorkBelief | undefined {
    if (step.estimateMs <= 0) return undefined;
    const correction = services.get(step.service)?.queues.get(step.queue)?.correction;
    return predictWork(correction ?? NO_CORRECTION, Math.log(step.estimateMs));
  }

  function medianOfService({ service }: StepWork): number {
    return services.get(service)?.median ?? 0;
  }

  function stepState(step: StepWork): StepState {
    const known = steps.get(step.key);
    if (known !== undefined) return known;
    const state = { prior: priorOf(step), ends: [] };
    steps.set(step.key, state);
    const [oldest] = steps.keys();
    if (steps.size > MAX_STEPS && oldest !== undefined) steps.delete(oldest);
    return state;
  }

  /** Learns the logarithm of the work of a task, which is `share` of its step; returns the work at speed 1. */
  function learnTask(step: StepWork, work: number, share: number): number {
    if (step.estimateMs > 0)
      learnWork(queueState(step).sums, Math.log(step.estimateMs), work, share);
    publishWhenDue();
    return Math.exp(work - serviceState(step.service).median);
  }

  function publishWhenDue() {
    if (now() - publishedAt < PUBLISH_INTERVAL_MS) return;
    publishedAt = now();
    revision += 1;
    for (const [name, state] of services) publish(name, state);
  }

  function publish(name: string, state: ServiceState) {
    const speeds = [...workers.values()].filter(({ service, speed }) => {
      return service === name && speed.ends > 0;
    });
    const shrinkage = state.ends / (state.ends + MEDIAN_SHRINKAGE_ENDS);
    state.median = medianOf(speeds.map(({ speed }) => speed.speed)) * shrinkage;
    let level = 0;
    let weight = 0;
    for (const queue of state.queues.values()) {
      queue.correction = correctionFrom(queue.sums);
      const { shift, steps: known, variance } = queue.correction;
      const reliability = known / (known + LEVEL_SHRINKAGE_STEPS) / variance;
      level += reliability * shift;
      weight += reliability;
    }
    const common = weight === 0 ? 0 : level / weight;
    state.nominalFactor = Math.exp(state.median - common);
  }

  function knownSpeed({ id, born }: WorkerIncarnation): number {
    const known = workers.get(id);
    if (known?.born !== born || known.speed.ends === 0) return 1;
    const relative = Math.exp(known.speed.speed - serviceState(known.service).median);
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, relative));
  }

  return {
    learnEnd: (step, worker, tookMs) => {
      const took = Math.max(1, tookMs);
      const speed = speedState(worker, step.service);
      learnEnd(stepState(step), speed, took);
      serviceState(step.service).ends += 1;
      return learnTask(step, Math.log(took) + speed.speed, 1 / step.count);
    },
    learnGangEnd: (step, members, tookMs) => {
      const speeds = members.map((worker) => speedState(worker, step.service).speed);
      return learnTask(step, Math.log(Math.max(1, tookMs)) + Math.min(...speeds), 1);
    },
    learnProgress: (step, worker, { percent, elapsedMs }) => {
      if (percent < MIN_PERCENT || elapsedMs < MIN_ELAPSED_MS) return false;
      const belief = believeWork(stepState(step));
      if (belief === undefined) return false;
      const speed = speedState(worker, step.service);
      // A whole percent stands for anything up to the next one; this is the least duration that it shows.
      const durationMs = (elapsedMs * 100) / (percent + 1);
      if (durationMs < SLOW_FACTOR * Math.exp(belief.work - speed.speed)) return false;
      compareRun(stepState(step), speed, durationMs);
      return true;
    },
    speedOf: knownSpeed,
    workOf: (step) => {
      const known = steps.get(step.key);
      const belief = known === undefined ? priorOf(step) : believeWork(known);
      if (belief === undefined)
        return { workMs: step.estimateMs, variance: NO_CORRECTION.variance };
      const factor = Math.exp(belief.work - Math.log(step.estimateMs || 1) - medianOfService(step));
      // Exact while nothing is learned, so that steps with equal estimates keep their order.
      return { workMs: (step.estimateMs || 1) * factor, variance: belief.variance };
    },
    nominalFactorOf: (service) => services.get(service)?.nominalFactor ?? 1,
    get revision() {
      return revision;
    },
    retainWorkers: (retained) => {
      const bornOf = new Map([...retained].map(({ id, born }) => [id, born]));
      for (const [id, { born }] of workers) if (bornOf.get(id) !== born) workers.delete(id);
    },
    summarize: () => {
      const learned = [...workers].filter(([, { speed }]) => speed.ends > 0);
      return describeForecast({
        speeds: learned.map(([id, { born }]) => knownSpeed({ id, born })),
        queues: [...services.values()].flatMap(({ queues, median }) =>
          [...queues].map(([name, { correction }]) => ({ name, correction, median })),
        ),
      });
    },
  };
}

function medianOf(values: readonly number[]): number {
  const sorted = values.toSorted((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
