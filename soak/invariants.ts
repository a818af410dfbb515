/**
 * What a soak checks: the promises of the product's pages, from what callers were told and what workers saw.
 */
import type { ObservedEnd, ObservedStart } from '../stand-ins/platform/worker.js';
import type { SoakJob } from './load.js';

export interface Observations {
  readonly jobs: readonly SoakJob[];
  readonly starts: readonly ObservedStart[];
  readonly ends: readonly ObservedEnd[];
  /** Final answers of the healed cell, by job. */
  readonly finalStates: ReadonlyMap<string, string>;
  readonly workerProcessorMillis: number;
  /** Times during which keys were withdrawn, as acknowledged by the store. */
  readonly withdrawnKeys: readonly {
    readonly key: string;
    readonly from: number;
    readonly to: number;
  }[];
  /** Times at which something was harmed. */
  readonly faults: readonly { readonly from: number; readonly to: number }[];
  readonly unexpectedExits: readonly string[];
}

/** The platform's bound on a withdrawn key. */
const CONFIGURATION_BOUND_MS = 2000;
/** The platform's bound on a cancellation, and how long calm has to last before it holds. */
const CANCELLATION_BOUND_MS = 3000;
const STABLE_MS = 3000;

interface TaskPlace {
  readonly job: string;
  readonly step: number;
}

/** Lists each broken promise in a line. */
export function checkInvariants(evidence: Observations): string[] {
  return [
    ...checkEnds(evidence),
    ...checkRefusals(evidence),
    ...checkCancellations(evidence),
    ...checkSingleRuns(evidence),
    ...checkOrder(evidence),
    ...checkRoom(evidence),
    ...checkShown(evidence),
    ...checkKeys(evidence),
    ...evidence.unexpectedExits.map((exit) => `process: ${exit} without being asked`),
  ];
}

/** Nothing accepted is lost. */
function checkEnds({ jobs, finalStates }: Observations): string[] {
  return jobs.flatMap(({ id, accepted, cancelSent }) => {
    if (accepted.length === 0) return [];
    const state = finalStates.get(id) ?? 'none';
    if (state === 'completed' || (cancelSent && state === 'cancelled')) return [];
    return [`lost: job ${id} was accepted and ends as ${state}`];
  });
}

/** A refusal that says that the job has not run is true. */
function checkRefusals({ jobs, starts }: Observations): string[] {
  const started = new Set(starts.map(({ task }) => parseTask(task).job));
  return jobs
    .filter(({ id, refused }) => refused && started.has(id))
    .map(({ id }) => `refused: job ${id} was refused by all hosts and has run`);
}

/** A task of a cancelled job starts no later than the bound after its acknowledgement, where nothing was harmed. */
function checkCancellations({ jobs, starts, faults }: Observations): string[] {
  const acknowledged = new Map(
    jobs.map(({ id, cancelAcknowledgedAt }) => [id, cancelAcknowledgedAt]),
  );
  return starts.flatMap(({ task, at }) => {
    const since = acknowledged.get(parseTask(task).job);
    if (since === undefined || at <= since + CANCELLATION_BOUND_MS) return [];
    const isCalm = faults.every(({ from, to }) => to < since - STABLE_MS || from > at);
    return isCalm
      ? [`cancelled: ${task} starts ${String(at - since)} ms after it was cancelled`]
      : [];
  });
}

/** No task runs twice at the same time, or again after it has ended as done. */
function checkSingleRuns({ starts, ends }: Observations): string[] {
  const byTask = groupBy(starts, ({ task }) => task);
  const findEnd = indexEnds(ends);
  return [...byTask].flatMap(([task, runs]) => {
    const ordered = [...runs].sort((left, right) => left.at - right.at);
    return ordered.slice(1).flatMap((start, index) => {
      const before = ordered[index];
      const end = before === undefined ? undefined : findEnd(before);
      if (end === undefined || end.at > start.at) {
        return [`twice: ${task} runs on ${start.worker} beside ${before?.worker ?? ''}`];
      }
      return end.how === 'done' ? [`twice: ${task} starts again after its end as done`] : [];
    });
  });
}

function checkOrder({ jobs, starts, ends }: Observations): string[] {
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

/** No worker has more at work than it can hold. */
function checkRoom({ jobs, starts, ends, workerProcessorMillis }: Observations): string[] {
  const byId = new Map(jobs.map((job) => [job.id, job]));
  const sizeOf = (task: string) => {
    const { job, step } = parseTask(task);
    return byId.get(job)?.steps[step]?.cpu ?? 0;
  };
  // Ends come first at the same millisecond, because room is free when an end is listed.
  const changes = [
    ...ends.map(({ worker, task, at }) => ({ worker, at, rank: 0, cpu: -sizeOf(task), task })),
    ...starts.map(({ worker, task, at }) => ({ worker, at, rank: 1, cpu: sizeOf(task), task })),
  ].sort((left, right) => left.at - right.at || left.rank - right.rank);
  const used = new Map<string, number>();
  return changes.flatMap(({ worker, cpu, task }) => {
    const now = (used.get(worker) ?? 0) + cpu;
    used.set(worker, now);
    return cpu > 0 && now > workerProcessorMillis
      ? [`room: ${task} brings ${worker} to ${String(now)} of ${String(workerProcessorMillis)}`]
      : [];
  });
}

/** A job is shown as completed only when its tasks have ended, and never as unknown once accepted. */
function checkShown({ jobs, ends }: Observations): string[] {
  const done = groupBy(
    ends.filter(({ how }) => how === 'done'),
    ({ task }) => parseTask(task).job,
  );
  return jobs.flatMap(({ id, steps, reportedStates, accepted }) => {
    const tasks = steps.reduce((sum, { count }) => sum + count, 0);
    return reportedStates.flatMap(({ at, host, state }) => {
      const ended = (done.get(id) ?? []).filter((end) => end.at <= at).length;
      if (state === 'completed' && ended < tasks) return [`shown: ${host} shows ${id} too early`];
      if (state === '410' && accepted.length > 0) return [`shown: ${host} does not know ${id}`];
      return [];
    });
  });
}

function checkKeys({ jobs, withdrawnKeys }: Observations): string[] {
  return jobs.flatMap(({ id, key, accepted }) =>
    accepted
      .filter(({ sentAt, answeredAt }) =>
        // An attempt may wait for a slow store until the key is granted again, which is allowed.
        withdrawnKeys.some(
          ({ key: taken, from, to }) =>
            taken === key && sentAt > from + CONFIGURATION_BOUND_MS && answeredAt < to,
        ),
      )
      .map(({ sentAt }) => `key: job ${id} was accepted at ${String(sentAt)} with a withdrawn key`),
  );
}

/** Tasks are named ID.OCCURRENCE.STEP.INDEX. */
function parseTask(task: string): TaskPlace {
  const [job = '', , step = ''] = task.split('.');
  return { job, step: Number(step) };
}

function stepKey(task: string): string {
  const { job, step } = parseTask(task);
  return `${job}.${String(step)}`;
}

function indexEnds(ends: readonly ObservedEnd[]) {
  const nameOf = ({ worker, task, run }: { worker: string; task: string; run: number }) =>
    `${worker} ${task} ${String(run)}`;
  const byRun = new Map(ends.map((end) => [nameOf(end), end]));
  return (start: ObservedStart) => byRun.get(nameOf(start));
}

function groupBy<Item>(items: readonly Item[], nameOf: (item: Item) => string) {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const group = groups.get(nameOf(item));
    if (group === undefined) groups.set(nameOf(item), [item]);
    else group.push(item);
  }
  return groups;
}
