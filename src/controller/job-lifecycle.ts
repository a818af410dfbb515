/**
 * Applies the ends of runs and cancellations to tasks, gangs and jobs.
 */
import type { Job, JobProgress, JobState, RunEnd, TaskProgress } from '../jobs/index.js';
import {
  completeOccurrences,
  isFinal,
  isStepDone,
  openAllTasks,
  setDone,
  setPhase,
} from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { WorkerHealth } from '../planner/index.js';
import type { Cell, JobEntry } from './cell.js';
import type { WriteUrgency } from './progress-log.js';
import { hasStalled, stallTimeoutMs } from './run.js';
import type { Run } from './run.js';
import type { WorkerSession } from './worker-session-types.js';

export interface JobLifecycle {
  /** Registers a placed or inherited run and charges it to its team. */
  registerRun(run: Run): void;
  /** Applies the end of a run; resolves to true once it is durable, to false if it never will be. */
  applyEnd(run: Run, end: RunEnd, checkpoint: string): Promise<boolean>;
  cancel(entry: JobEntry): void;
  /** Stops a run and all other members of its gang, which cannot continue without it. */
  readonly stop: (run: Run, reason: string) => void;
  /** Whether all members of the run's gang are running. */
  readonly isGangRunning: (run: Run) => boolean;
  /** Runs of the job that have not ended. */
  runsOf(job: string): readonly Run[];
}

export interface JobLifecycleOptions {
  readonly cell: Cell;
  readonly health: WorkerHealth;
  readonly events: EventLog;
  readonly maxAttempts: (job: Job) => number;
  readonly write: (job: string, urgency: WriteUrgency) => Promise<boolean>;
  /** Called when a job has ended and its record is durable. */
  readonly onEnded: (job: Job, state: JobState) => void;
  readonly onChange: () => void;
  readonly now: () => number;
}

/** Ends of a gang member after which the other members do not end by themselves and have to be stopped. */
const ENDS_REQUIRING_GANG_STOP: ReadonlySet<RunEnd> = new Set([
  // Of a long-running gang, whose members start again together; any other is done as a whole.
  'done',
  'stopped',
  'lapsed',
  'never-ran',
  'lost',
]);

export function createJobLifecycle(options: JobLifecycleOptions): JobLifecycle {
  const { cell, health, events } = options;
  const runsByJob = new Map<string, Set<Run>>();
  /** Writes of final states in this term; each resolves to whether the record is durable. */
  const endWrites = new WeakMap<JobProgress, Promise<boolean>>();

  function registerRun(run: Run) {
    const { id } = run.progress.job;
    const runs = runsByJob.get(id) ?? new Set();
    runs.add(run);
    runsByJob.set(id, runs);
    cell.charge(run.team, run.size);
  }

  function runsOf(job: string): Run[] {
    return [...(runsByJob.get(job) ?? [])];
  }

  async function applyEnd(run: Run, end: RunEnd, checkpoint: string): Promise<boolean> {
    const { progress, step } = run;
    removeRun(run);
    // Also of a job that has ended: the first member of its last gang that is done completes it.
    if (end === 'done') health.record(run.session.incarnation.id, progress.job.id, true);
    if (end === 'failed') health.record(run.session.incarnation.id, progress.job.id, false);
    const entry = cell.jobs.get(progress.job.id);
    if (entry === undefined || isFinal(progress.state)) {
      options.onChange();
      // The worker keeps the end while the job's own end is known in memory alone: a successor may need it.
      return endWrites.get(progress) ?? true;
    }
    if (checkpoint !== '') run.task.checkpoint = checkpoint;
    if (step.step.gang) applyGangEnd(entry, run, end);
    else applyTaskEnd(entry, run, end);
    completeOccurrences(progress);
    recordFinalState(entry);
    cell.refresh(entry);
    options.onChange();
    return isFinal(progress.state) ? writeEnd(progress) : options.write(progress.job.id, 'note');
  }

  function writeEnd(progress: JobProgress): Promise<boolean> {
    const { job, state } = progress;
    const durable = options.write(job.id, 'outcome');
    endWrites.set(progress, durable);
    void durable.then((written) => {
      if (written) options.onEnded(job, state);
    });
    return durable;
  }

  function removeRun(run: Run) {
    const { id } = run.progress.job;
    const runs = runsByJob.get(id);
    if (runs?.delete(run) !== true) return;
    if (runs.size === 0) runsByJob.delete(id);
    cell.release(run.team, run.size);
  }

  function applyTaskEnd(entry: JobEntry, run: Run, end: RunEnd) {
    const { step, task } = run;
    task.worker = undefined;
    if (end === 'done' && !step.step.longRunning) {
      setPhase(step, task, 'done');
      return;
    }
    setPhase(step, task, 'waiting');
    if (end !== 'failed' || step.step.longRunning) return;
    task.failures += 1;
    task.failedOn.push(run.session.incarnation.id);
    if (task.failures >= options.maxAttempts(entry.progress.job)) {
      fail(entry, `task ${run.name} failed ${String(task.failures)} times`);
    }
  }

  function applyGangEnd(entry: JobEntry, run: Run, end: RunEnd) {
    const { step } = run;
    const { longRunning } = step.step;
    if (isStepDone(step)) return;
    if (end === 'done' && !longRunning) {
      setDone(step, [0, step.step.count - 1]);
      return;
    }
    if (end === 'failed' && !longRunning && step.gangFailedRun < run.number) {
      step.gangFailedRun = run.number;
      step.gangFailures += 1;
      run.task.failedOn.push(run.session.incarnation.id);
      if (step.gangFailures >= options.maxAttempts(entry.progress.job)) {
        fail(entry, `gang ${run.name} failed ${String(step.gangFailures)} times`);
        return;
      }
    }
    const others = membersOf(run);
    if (ENDS_REQUIRING_GANG_STOP.has(end)) {
      for (const other of others) other.session.stop(other, `member ${run.name} ended: ${end}`);
    }
    if (others.length > 0) return;
    const members = openAllTasks(step);
    const checkpoint = latestCheckpoint(members, run.task);
    for (const task of members) {
      task.worker = undefined;
      task.checkpoint = checkpoint;
      setPhase(step, task, 'waiting');
    }
  }

  function stop(run: Run, reason: string) {
    const affected = run.step.step.gang ? membersOf(run) : [run];
    for (const member of affected) member.session.stop(member, reason);
  }

  function isGangRunning(run: Run): boolean {
    return membersOf(run).every(({ status }) => status === 'running');
  }

  function membersOf(run: Run): Run[] {
    return runsOf(run.progress.job.id).filter(({ step }) => step === run.step);
  }

  function fail(entry: JobEntry, reason: string) {
    entry.progress.state = 'failed';
    stopAll(entry.progress, 'the job failed');
    events.info('job-failed', { job: entry.progress.job.id, reason });
  }

  function stopAll(progress: JobProgress, reason: string) {
    for (const run of runsOf(progress.job.id)) run.session.stop(run, reason);
  }

  function recordFinalState(entry: JobEntry) {
    const { state, job } = entry.progress;
    if (!isFinal(state) || entry.finishedAtMs !== undefined) return;
    entry.finishedAtMs = options.now();
    events.info('job-finished', {
      job: job.id,
      queue: job.queue,
      team: job.team,
      state,
      tookMs: Math.round(entry.finishedAtMs - entry.acceptedAtMs),
      objectiveMs: Math.round(entry.objectiveAtMs - entry.acceptedAtMs),
    });
  }

  function cancel(entry: JobEntry) {
    const { progress } = entry;
    if (isFinal(progress.state)) return;
    progress.state = 'cancelled';
    stopAll(progress, 'the job was cancelled');
    recordFinalState(entry);
    cell.refresh(entry);
    void writeEnd(progress);
    options.onChange();
  }

  return { registerRun, applyEnd, cancel, stop, isGangRunning, runsOf };
}

/** The checkpoint of any member is valid for the gang, but all members must resume from the same one. */
function latestCheckpoint(tasks: readonly TaskProgress[], last: TaskProgress): string {
  if (last.checkpoint !== '') return last.checkpoint;
  return tasks.find(({ checkpoint }) => checkpoint !== '')?.checkpoint ?? '';
}

/** Stops the runs of a worker that have stalled by a report made at `clockMs`, and excludes the worker. */
export function stopStalledRuns(
  session: WorkerSession,
  options: {
    /** The worker's clock when it made the report. */
    readonly clockMs: number;
    readonly health: WorkerHealth;
    readonly stop: (run: Run, reason: string) => void;
    /** Whether all members of the run's gang are running. */
    readonly isGangRunning: (run: Run) => boolean;
  },
): void {
  let excluded = false;
  for (const run of session.runs.values()) {
    if (run.status !== 'running' || run.percent >= 100 || run.step.step.longRunning) continue;
    if (!hasStalled(run, options.clockMs)) continue;
    if (run.step.step.gang && !options.isGangRunning(run)) continue;
    // One exclusion for all of them: each further one would double it.
    if (!excluded) options.health.exclude(session.incarnation.id);
    excluded = true;
    options.stop(run, `no progress for ${String(stallTimeoutMs(run))} ms`);
    const { step, task } = run;
    for (const stalled of step.step.gang ? step.tasks.values() : [task]) stalled.stalls += 1;
  }
}
