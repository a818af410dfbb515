/**
 * A run is one attempt of a task, ordered on one incarnation of a worker. Its resources stay charged to the worker
 * until it is certain that the run is not executing and never will be.
 */
import type { JobProgress, StepProgress, TaskProgress } from '../jobs/index.js';
import type { Resources } from '../model/index.js';
import type { WorkerSession } from './worker-session-types.js';

/**
 * - `logging`: the order is being made durable.
 * - `starting`: the order was sent.
 * - `in-doubt`: the order may have been carried out, as with all inherited runs.
 * - `running`: the worker has confirmed the start.
 * - `stopping`: a stop was requested.
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
  /** The session with the incarnation that has the run or may have it; a later one may take it over. */
  session: WorkerSession;
  /** Whether a previous leader ordered the run. */
  readonly inherited: boolean;
  status: RunStatus;
  /** Whether a report of the session's incarnation has listed the run. */
  listed: boolean;
  /** Whether the clock in the answer to its start was that of the session's incarnation. */
  confirmedByClock: boolean;
  /** Monotonic time until which a start whose answer was lost may still be carried out; minus infinity if none was. */
  lateStartUntil: number;
  /**
   * Monotonic time from which calls to the worker carry later fencing tokens than the run's starts; infinite while the
   * session that has sent them is open.
   */
  fencedAt: number;
  /** Monotonic time of the last change of `status`. */
  since: number;
  /** Monotonic time at which the worker accepted the stop; undefined before. */
  stopAnsweredAt: number | undefined;
  percent: number;
  /** Monotonic time at which the last change of `percent` was learned. */
  progressedAt: number;
  /**
   * The worker's clock at its start or, later, in the report with the last change of `percent`. Undefined until the
   * worker has confirmed the run.
   */
  progressedClockMs: number | undefined;
  startedAt: number;
  /** The worker's clock when it accepted the start; undefined if an earlier order may have started the run. */
  startedClockMs: number | undefined;
  /** The worker's clock in the report that listed the end. */
  endedClockMs: number | undefined;
  /** Whether the run began with a checkpoint, so that it does only a part of the work. */
  readonly resumed: boolean;
  /** Whether its progress has shown that it takes much longer than expected. */
  slow: boolean;
  /** Milliseconds from its start, on the worker's clock, from which its progress is compared with the expectation again. */
  progressDueMs: number;
  /** Age of what the leader knew of the workers when it sent the order; undefined if it has not sent one. */
  fleetAgeMs: number | undefined;
  /** Milliseconds from the placement until the order was sent. */
  orderedMs: number | undefined;
  /** Milliseconds until the worker accepted the start; undefined if it has not. */
  answeredMs: number | undefined;
  stopReason: string;
}

/**
 * Bounds the lease of a worker that cannot be reached: an order without an answer may be carried out seconds later. A
 * worker that has answered does nothing for orders with earlier fencing tokens.
 */
export const LATE_ORDER_MS = 10_000;

export interface RunOptions {
  readonly name: string;
  readonly progress: JobProgress;
  readonly step: StepProgress;
  readonly task: TaskProgress;
  readonly session: WorkerSession;
  /** Whether a previous leader ordered the run, which is then in doubt until its worker reports. */
  readonly inherited: boolean;
}

/** Progress in less time says little. */
const FIRST_PROGRESS_MS = 300;

/** Name of the step that the run's task belongs to. */
export function stepNameOf({ name }: Run): string {
  return name.slice(0, name.lastIndexOf('.'));
}

/** Creates a run of the task with the task's current run number. */
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
    listed: false,
    confirmedByClock: false,
    lateStartUntil: inherited ? now + LATE_ORDER_MS : -Infinity,
    fencedAt: inherited ? -Infinity : Infinity,
    since: inherited ? -Infinity : now,
    stopAnsweredAt: undefined,
    percent: 0,
    progressedAt: now,
    progressedClockMs: undefined,
    startedAt: now,
    startedClockMs: undefined,
    endedClockMs: undefined,
    resumed: task.checkpoint !== '',
    slow: false,
    progressDueMs: FIRST_PROGRESS_MS,
    fleetAgeMs: undefined,
    orderedMs: undefined,
    answeredMs: undefined,
    stopReason: '',
  };
}

/**
 * Whether a start of the run may reach, or have reached, a later incarnation of its worker. Orders and their answers
 * name only the worker's id, so only a report shows which incarnation has carried out a start.
 */
export function mayReachLaterIncarnation({ status, listed, lateStartUntil }: Run): boolean {
  if (status === 'logging') return false;
  return !listed || lateStartUntil > -Infinity;
}

/**
 * Whether a later incarnation than the session's may have the run, if that one was certainly alive at the given monotonic
 * time. The end of its lease is then not the end of the run. Unlike a run that is handed over, it is not settled by a report.
 */
export function mayBeAtLaterIncarnation(run: Run, aliveAt: number): boolean {
  if (run.status === 'logging') return false;
  const isStartUnderWay = run.lateStartUntil > aliveAt;
  return isStartUnderWay || !(run.listed || run.confirmedByClock);
}

/** Fraction of the estimate. A healthy worker reports 15 % progress in it, a worker that is 7 times slower 2 %. */
const STALL_FRACTION = 0.15;
const MIN_STALL_MS = 600;
const MAX_STALL_MS = 2000;
/** Workers report whole percents, so even a sound run of a long task shows no progress for some time. */
const LEAST_STALL_FRACTION = 0.03;
/** Additional time to resume from a checkpoint. */
const RESUME_MS = 600;

/**
 * Whether a run makes no progress, by a report of its worker that was made at `clockMs` on the worker's clock. Reports
 * can be delayed on their way or wait for a busy leader, so the leader's own clock says nothing about the run.
 */
export function hasStalled(run: Run, clockMs: number): boolean {
  if (run.progressedClockMs === undefined) return false;
  return clockMs - run.progressedClockMs >= stallTimeoutMs(run);
}

/**
 * Milliseconds without a change of `percent` after which a run counts as stalled. Doubles with each run of the task that
 * has stalled: estimates are rough, and a task that takes many times its estimate must end some time, too.
 */
export function stallTimeoutMs({ step, task }: Run): number {
  const { estimateMs } = step.step;
  const bound = Math.max(
    MIN_STALL_MS,
    estimateMs * LEAST_STALL_FRACTION,
    Math.min(MAX_STALL_MS, estimateMs * STALL_FRACTION),
  );
  return Math.round(bound * 2 ** task.stalls + (task.checkpoint === '' ? 0 : RESUME_MS));
}
