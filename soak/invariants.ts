/**
 * Checks the documented guarantees against what callers were told and what workers recorded during a soak.
 */
import type { ObservedEnd, ObservedStart } from '../stand-ins/platform/worker.js';
import type { SoakJob } from './load.js';

export interface Observations {
  readonly jobs: readonly SoakJob[];
  readonly starts: readonly ObservedStart[];
  readonly ends: readonly ObservedEnd[];
  /** States that the healed cell reports at the end of the run, by job id. */
  readonly finalStates: ReadonlyMap<string, string>;
  readonly workerProcessorMillis: number;
  /** Periods during which keys were withdrawn, as acknowledged by the store. */
  readonly withdrawnKeys: readonly {
    readonly key: string;
    readonly from: number;
    readonly to: number;
  }[];
  /** Periods during which a fault was active. */
  readonly faults: readonly { readonly from: number; readonly to: number }[];
  readonly unexpectedExits: readonly string[];
}

/** The platform's bound on the time until a withdrawn key is refused. */
const KEY_WITHDRAWAL_BOUND_MS = 2000;
/** The platform's bound on a cancellation; it applies once no fault was active for `SETTLE_MS`. */
const CANCELLATION_BOUND_MS = 3000;
const SETTLE_MS = 3000;

interface TaskStep {
  readonly job: string;
  readonly step: number;
}

/** Returns one line for each violation. */
export function checkInvariants(observations: Observations): string[] {
  return [
    ...checkCompletion(observations),
    ...checkRefusals(observations),
    ...checkCancellations(observations),
    ...checkSingleExecution(observations),
    ...checkStepOrder(observations),
    ...checkWorkerCapacity(observations),
    ...checkReportedStates(observations),
    ...checkWithdrawnKeys(observations),
    ...observations.unexpectedExits.map((exit) => `process: ${exit} unexpectedly`),
  ];
}

/** Every accepted job completes, or is cancelled if a cancellation was sent. */
function checkCompletion({ jobs, finalStates }: Observations): string[] {
  return jobs.flatMap(({ id, accepted, cancelSent }) => {
    if (accepted.length === 0) return [];
    const state = finalStates.get(id) ?? 'none';
    if (state === 'completed' || (cancelSent && state === 'cancelled')) return [];
    return [`lost: job ${id} was accepted and ends as ${state}`];
  });
}

/** A job that all hosts refused has not run. */
function checkRefusals({ jobs, starts }: Observations): string[] {
  const started = new Set(starts.map(({ task }) => parseTask(task).job));
  return jobs
    .filter(({ id, refused }) => refused && started.has(id))
    .map(({ id }) => `refused: job ${id} was refused by all hosts and has run`);
}

/** Without faults, no task of a job starts later than the bound after its cancellation was acknowledged. */
function checkCancellations({ jobs, starts, faults }: Observations): string[] {
  const acknowledged = new Map(
    jobs.map(({ id, cancelAcknowledgedAt }) => [id, cancelAcknowledgedAt]),
  );
  return starts.flatMap(({ task, at }) => {
    const cancelledAt = acknowledged.get(parseTask(task).job);
    if (cancelledAt === undefined || at <= cancelledAt + CANCELLATION_BOUND_MS) return [];
    const isFaultFree = faults.every(({ from, to }) => to < cancelledAt - SETTLE_MS || from > at);
    return isFaultFree
      ? [`cancelled: ${task} starts ${String(at - cancelledAt)} ms after it was cancelled`]
      : [];
  });
}

/** No task has two concurrent runs, or runs again after it has ended as done. */
function checkSingleExecution({ starts, ends }: Observations): string[] {
  const byTask = groupBy(starts, ({ task }) => task);
  const findEnd = indexEnds(ends);
  return [...byTask].flatMap(([task, runs]) => {
    const ordered = [...runs].sort((left, right) => left.at - right.at);
    return ordered.slice(1).flatMap((start, index) => {
      const previous = ordered[index];
      const end = previous === undefined ? undefined : findEnd(previous);
      if (end === undefined || end.at > start.at) {
        return [
          `twice: ${task} runs on ${start.worker} while it still runs on ${previous?.worker ?? ''}`,
        ];
      }
      return end.how === 'done' ? [`twice: ${task} starts again after its end as done`] : [];
    });
  });
}

/** A step starts only after all tasks of the steps that it depends on have ended as done. */
function checkStepOrder({ jobs, starts, ends }: Observations): string[] {
  const done = groupBy(
    ends.filter(({ how }) => how === 'done'),
    ({ task }) => stepKey(task),
  );
  const byId = new Map(jobs.map((job) => [job.id, job]));
  return starts.flatMap(({ task, at }) => {
    const { job, step } = parseTask(task);
    const found = byId.get(job);
    const early = found?.steps[step]?.after.filter((earlier) => {
      const ended = (done.get(`${job}.${String(earlier)}`) ?? []).filter((end) => end.at <= at);
      return new Set(ended.map((end) => end.task)).size < (found.steps[earlier]?.count ?? 0);
    });
    return early === undefined || early.length === 0 ? [] : [`order: ${task} starts too early`];
  });
}

/** The running tasks of a worker never exceed its processor capacity. */
function checkWorkerCapacity({
  jobs,
  starts,
  ends,
  workerProcessorMillis,
}: Observations): string[] {
  const byId = new Map(jobs.map((job) => [job.id, job]));
  const sizeOf = (task: string) => {
    const { job, step } = parseTask(task);
    return byId.get(job)?.steps[step]?.cpu ?? 0;
  };
  // At the same millisecond, ends sort before starts: the capacity is free once an end is recorded.
  const changes = [
    ...ends.map(({ worker, task, at }) => ({ worker, at, rank: 0, cpu: -sizeOf(task), task })),
    ...starts.map(({ worker, task, at }) => ({ worker, at, rank: 1, cpu: sizeOf(task), task })),
  ].sort((left, right) => left.at - right.at || left.rank - right.rank);
  const used = new Map<string, number>();
  return changes.flatMap(({ worker, cpu, task }) => {
    const total = (used.get(worker) ?? 0) + cpu;
    used.set(worker, total);
    return cpu > 0 && total > workerProcessorMillis
      ? [
          `room: ${task} raises the usage of ${worker} to ${String(total)} of ${String(workerProcessorMillis)}`,
        ]
      : [];
  });
}

/** A job is reported as completed only after all its tasks have ended, and never as unknown (410) once accepted. */
function checkReportedStates({ jobs, ends }: Observations): string[] {
  const done = groupBy(
    ends.filter(({ how }) => how === 'done'),
    ({ task }) => parseTask(task).job,
  );
  return jobs.flatMap(({ id, steps, reportedStates, accepted }) => {
    const tasks = steps.reduce((sum, { count }) => sum + count, 0);
    return reportedStates.flatMap(({ at, host, state }) => {
      const ended = (done.get(id) ?? []).filter((end) => end.at <= at).length;
      if (state === 'completed' && ended < tasks)
        return [`shown: ${host} reports ${id} as completed too early`];
      if (state === '410' && accepted.length > 0) return [`shown: ${host} does not know ${id}`];
      return [];
    });
  });
}

/** No attempt is accepted with a key that was withdrawn for longer than the bound. */
function checkWithdrawnKeys({ jobs, withdrawnKeys }: Observations): string[] {
  return jobs.flatMap(({ id, key, accepted }) =>
    accepted
      .filter(({ sentAt, answeredAt }) =>
        // An attempt may wait for a slow store until its key is granted again; accepting it then is correct.
        withdrawnKeys.some(
          ({ key: taken, from, to }) =>
            taken === key && sentAt > from + KEY_WITHDRAWAL_BOUND_MS && answeredAt < to,
        ),
      )
      .map(({ sentAt }) => `key: job ${id} was accepted at ${String(sentAt)} with a withdrawn key`),
  );
}

/** Parses a task id of the form ID.OCCURRENCE.STEP.INDEX. */
function parseTask(task: string): TaskStep {
  const [job = '', , step = ''] = task.split('.');
  return { job, step: Number(step) };
}

function stepKey(task: string): string {
  const { job, step } = parseTask(task);
  return `${job}.${String(step)}`;
}

function indexEnds(ends: readonly ObservedEnd[]) {
  const runKey = ({ worker, task, run }: { worker: string; task: string; run: number }) =>
    `${worker} ${task} ${String(run)}`;
  const byRun = new Map(ends.map((end) => [runKey(end), end]));
  return (start: ObservedStart) => byRun.get(runKey(start));
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string) {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item));
    if (group === undefined) groups.set(keyOf(item), [item]);
    else group.push(item);
  }
  return groups;
}
