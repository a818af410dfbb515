/**
 * Feeds the forecast from the runs of a leader's term, and answers from it what the planner asks: the speed of workers,
 * the work and the critical paths of jobs, and when runs are expected to end.
 */
import { createForecast, expectEnd } from '../forecast/index.js';
import type { ExpectedWork, Forecast, StepWork } from '../forecast/index.js';
import {
  estimateCriticalPaths,
  formatStepName,
  isStepDone,
  USEFUL_LATENESS_FACTOR,
} from '../jobs/index.js';
import type { Job, OccurrenceProgress, StepProgress, WorkerIncarnation } from '../jobs/index.js';
import type { Release } from '../planner/index.js';
import type { JobEntry, ReadyStep } from './cell.js';
import { stepNameOf } from './run.js';
import type { Run } from './run.js';
import type { WorkerSession } from './worker-session-types.js';

/** What is expected of a job, by what was learned so far. Each list has an element for each step. */
export interface JobOutlook {
  /** Expected duration of one task of each step at speed 1. */
  readonly workMs: readonly number[];
  /** Duration of the longest chain of steps from the start of each step to the end of the job, at speed 1. */
  readonly criticalPathMs: readonly number[];
  /** The objective by the terms of the job, for its expected critical path instead of the estimated one. */
  readonly objectiveAtMs: number;
  readonly uselessAtMs: number;
}

export interface RunForecast {
  /** Learns from a run that is done; returns its work in milliseconds at speed 1, undefined if it shows nothing. */
  learnEnd(run: Run): number | undefined;
  /** Learns from the progress of a worker's runs. */
  learnProgress(session: WorkerSession): void;
  speedOf(session: WorkerSession): number;
  outlookOf(ready: ReadyStep): JobOutlook;
  /** Milliseconds until the run is expected to end. */
  expectRestMs(run: Run): number;
  /** Expected ends of the worker's runs, on the clock of `nowMs`; the earliest first. */
  releasesOf(session: WorkerSession, nowMs: number): Release[];
  readonly forecast: Forecast;
}

export interface RunForecastOptions {
  readonly forecast?: Forecast;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
  /** Whether the leader has time to learn and to place by speed; by default, always. */
  readonly hasSpareTime?: () => boolean;
}

interface StepForecast extends ExpectedWork {
  readonly revision: number;
  /** Speed of the slowest worker of a gang. */
  readonly slowestSpeed: number | undefined;
}

/**
 * Least time between two comparisons of a run's progress. A leader gets a thousand reports a second, each with all runs of
 * a worker.
 */
const PROGRESS_INTERVAL_MS = 500;
/** A worker takes up to 0.9 s to stop a run. */
const STOP_MS = 900;

export function createRunForecast(options: RunForecastOptions = {}): RunForecast {
  const { now = () => performance.now(), forecast = createForecast({ now }) } = options;
  const { hasSpareTime = () => true } = options;
  /** What is expected of the runs of a step. Thousands of runs may be asked for at a time. */
  const stepForecasts = new WeakMap<StepProgress, StepForecast>();
  /** Outlooks with the revision of the forecast from which they were computed. */
  const outlooks = new WeakMap<OccurrenceProgress, { revision: number; outlook: JobOutlook }>();

  function learnEnd(run: Run): number | undefined {
    if (!hasSpareTime()) return undefined;
    if (!isComparable(run) || run.startedClockMs === undefined || run.endedClockMs === undefined)
      return undefined;
    const tookMs = run.endedClockMs - run.startedClockMs;
    const work = describeRun(run);
    if (!run.step.step.gang) return forecast.learnEnd(work, run.session.incarnation, tookMs);
    // All members end together, and the first of them completes the step.
    if (isStepDone(run.step)) return undefined;
    return forecast.learnGangEnd(work, membersOf(run), tookMs);
  }

  function learnProgress({ runs, incarnation }: WorkerSession) {
    if (!hasSpareTime()) return;
    for (const run of runs.values()) {
      const { percent, startedClockMs, progressedClockMs } = run;
      if (percent === 0 || run.slow || run.step.step.gang || !isComparable(run)) continue;
      if (startedClockMs === undefined || progressedClockMs === undefined) continue;
      const elapsedMs = progressedClockMs - startedClockMs;
      if (elapsedMs < run.progressDueMs) continue;
      run.progressDueMs = elapsedMs + PROGRESS_INTERVAL_MS;
      const progress = { percent, elapsedMs };
      run.slow = forecast.learnProgress(describeRun(run), incarnation, progress);
    }
  }

  function outlookOf({ entry, step }: ReadyStep): JobOutlook {
    const occurrence = entry.progress.occurrences.get(step.occurrence);
    if (occurrence === undefined) return entryOutlook(entry, step.occurrence);
    const known = outlooks.get(occurrence);
    if (known?.revision === forecast.revision) return known.outlook;
    const outlook = entryOutlook(entry, step.occurrence);
    outlooks.set(occurrence, { revision: forecast.revision, outlook });
    return outlook;
  }

  function entryOutlook(entry: JobEntry, occurrence: number): JobOutlook {
    const { job } = entry.progress;
    const workMs = job.steps.map(({ longRunning, estimateMs }, number) =>
      longRunning ? estimateMs : forecast.workOf(describeStep(job, occurrence, number)).workMs,
    );
    const criticalPathMs = estimateCriticalPaths(job.steps, workMs);
    const nominalMs = longestOf(criticalPathMs) * forecast.nominalFactorOf(job.service);
    const laterMs = entry.stretch * (nominalMs - longestOf(entry.criticalPathMs));
    return {
      workMs,
      criticalPathMs,
      objectiveAtMs: entry.objectiveAtMs + laterMs,
      uselessAtMs: entry.uselessAtMs + USEFUL_LATENESS_FACTOR * laterMs,
    };
  }

  function expectRestMs(run: Run, nowMs = now()): number {
    if (run.status === 'stopping') return Math.max(0, run.since + STOP_MS - nowMs);
    const { workMs, variance, slowestSpeed } = stepForecastOf(run);
    const expectedMs = workMs / (slowestSpeed ?? forecast.speedOf(run.session.incarnation));
    const { startedClockMs, progressedClockMs, percent } = run;
    const input = { nowMs, expectedMs, variance, percent: 0, percentAfterMs: 0 };
    if (run.status === 'logging') return expectEnd({ ...input, startedAtMs: nowMs }) - nowMs;
    if (run.resumed || startedClockMs === undefined) {
      // What was done before the start, or before this leader's term, is known from the percent alone.
      const startedAtMs = run.progressedAt - (percent / 100) * expectedMs;
      return expectEnd({ ...input, startedAtMs }) - nowMs;
    }
    const percentAfterMs = (progressedClockMs ?? startedClockMs) - startedClockMs;
    return expectEnd({ ...input, startedAtMs: run.startedAt, percent, percentAfterMs }) - nowMs;
  }

  function stepForecastOf(run: Run): StepForecast {
    const known = stepForecasts.get(run.step);
    if (known?.revision === forecast.revision) return known;
    const { workMs, variance } = forecast.workOf(describeRun(run));
    const slowestSpeed = run.step.step.gang
      ? Math.min(...membersOf(run).map((worker) => forecast.speedOf(worker)))
      : undefined;
    const next = { revision: forecast.revision, workMs, variance, slowestSpeed };
    stepForecasts.set(run.step, next);
    return next;
  }

  return {
    learnEnd,
    learnProgress,
    speedOf: ({ incarnation }) => (hasSpareTime() ? forecast.speedOf(incarnation) : 1),
    outlookOf,
    expectRestMs: (run) => expectRestMs(run),
    releasesOf: ({ runs }, nowMs) => {
      const monotonicMs = now();
      const releases: Release[] = [];
      for (const run of runs.values()) {
        if (run.step.step.longRunning) continue;
        releases.push({ atMs: nowMs + expectRestMs(run, monotonicMs), size: run.size });
      }
      return releases.sort((left, right) => left.atMs - right.atMs);
    },
    forecast,
  };
}

/**
 * Whether the duration of the run shows the work of its task: it did all of it, and was slowed down neither by a cold
 * worker, by the distance from its data nor by a spread of its step over racks.
 */
function isComparable({ step, session, resumed, startedAt }: Run): boolean {
  const { longRunning, dataRack, rackSensitive, count } = step.step;
  if (startedAt < (session.worker.coldUntil ?? -Infinity)) return false;
  if (longRunning || resumed || (rackSensitive && count > 1)) return false;
  return dataRack === undefined || dataRack === session.worker.rack;
}

/** The workers of the run's gang. */
function membersOf({ session, step }: Run): WorkerIncarnation[] {
  const others = [...step.tasks.values()].flatMap(({ worker }) => worker ?? []);
  return [session.incarnation, ...others];
}

function describeRun(run: Run): StepWork {
  const { count, estimateMs } = run.step.step;
  const { queue, service } = run.progress.job;
  return { key: stepNameOf(run), service, queue, count, estimateMs: usableEstimate(estimateMs) };
}

function describeStep(job: Job, occurrence: number, number: number): StepWork {
  const key = formatStepName({ job: job.id, occurrence, step: number });
  const { count = 1, estimateMs = 0 } = job.steps[number] ?? {};
  const { service, queue } = job;
  return { key, service, queue, count, estimateMs: usableEstimate(estimateMs) };
}

/** Estimates under a millisecond say nothing, and their logarithms would dominate what is learned. */
function usableEstimate(estimateMs: number): number {
  return estimateMs < 1 ? 0 : estimateMs;
}

function longestOf(values: readonly number[]): number {
  return values.reduce((longest, value) => Math.max(longest, value), 0);
}
