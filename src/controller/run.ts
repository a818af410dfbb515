/**
 * Runs: one ordered start of a task on one life of a worker. A run stays charged to its worker until
 * it is certain that it is not at work and never will be.
 */
import type { JobProgress, StepProgress, TaskProgress } from '../jobs/index.js';
import type { Resources } from '../model/index.js';
import type { WorkerSession } from './worker-session-types.js';

/**
 * - `logging`: the order waits until it is durable.
 * - `starting`: the order was sent.
 * - `in-doubt`: the order may have been carried out; also all runs of a former leader.
 * - `running`: the worker has confirmed it.
 * - `stopping`: a stop was asked for.
 */
export type RunStatus = 'logging' | 'starting' | 'in-doubt' | 'running' | 'stopping';

export interface Run {
  readonly name: string;
  readonly number: number;
  readonly progress: JobProgress;
  readonly step: StepProgress;
  readonly task: TaskProgress;
  readonly team: string;
  readonly size: Resources;
  readonly session: WorkerSession;
  /** Ordered by a former leader. */
  readonly inherited: boolean;
  status: RunStatus;
  /** Monotonic time since when the status holds. */
  since: number;
  /** Monotonic time at which the worker answered the stop; undefined before. */
  stopAnsweredAt: number | undefined;
  percent: number;
  /** Monotonic time of the last change of `percent`. */
  progressedAt: number;
  startedAt: number;
  stopReason: string;
}

export interface RunOptions {
  readonly name: string;
  readonly progress: JobProgress;
  readonly step: StepProgress;
  readonly task: TaskProgress;
  readonly session: WorkerSession;
  /** Ordered by a former leader, so that it is in doubt until its worker answers. */
  readonly inherited: boolean;
}

/** A run of the task under its present number. */
export function createRun({ name, progress, step, task, session, inherited }: RunOptions): Run {
  const now = performance.now();
  return {
    name,
    number: task.run,
    progress,
    step,
    task,
    team: progress.job.team,
    size: step.step.size,
    session,
    inherited,
    status: inherited ? 'in-doubt' : 'logging',
    since: inherited ? -Infinity : now,
    stopAnsweredAt: undefined,
    percent: 0,
    progressedAt: now,
    startedAt: now,
    stopReason: '',
  };
}

/** Why a run is over. `never-ran`: the worker certainly did not start it. `lost`: its worker ended. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'never-ran' | 'lost';

/** A sound worker shows 15 % of a task in this share of the estimate, one that is 7 times slower 2 %. */
const STALL_SHARE = 0.15;
const MIN_STALL_MS = 600;
const MAX_STALL_MS = 2000;
/** Time to resume from a checkpoint. */
const RESUME_MS = 600;

/** Time without a change of percent after which a run counts as stalled. */
export function stallTimeoutMs({ step, task }: Run): number {
  const bound = Math.min(MAX_STALL_MS, Math.max(MIN_STALL_MS, step.step.estimateMs * STALL_SHARE));
  return Math.round(bound + (task.checkpoint === '' ? 0 : RESUME_MS));
}
