/**
 * Runs placed tasks on held workers. If the answer to a start does not arrive, the worker is asked for the
 * task; its resources stay charged until it has certainly ended.
 */
import { setTimeout as delay } from 'node:timers/promises';
import {
  taskIdOf,
  refuse,
  unknownOutcome,
  type TaskId,
  type UnknownOutcome,
  type WorkRequest,
} from '../model/index.js';
import type { Timeline } from '../timeline/index.js';
import type { HealthTracker, TaskNeverSeen, RunningTask, TaskOutcome } from '../workers/index.js';
import type { HeldWorker, HeldWorkers } from './held-workers.js';

const JOIN_RETRY_MS = 250;

/** A task whose resources and allotment are charged. */
export interface PlacedTask {
  readonly request: WorkRequest;
  readonly index: number;
  readonly worker: string;
}

/** A task and the boot id of its worker when it was started. */
interface StartedTask {
  readonly task: TaskId;
  readonly bootId: string;
}

/** How a task ended; `ended` is false if it may still be running. */
export interface TaskEnd {
  readonly outcome: TaskOutcome;
  readonly ended: boolean;
}

export interface TaskRunner {
  run(placed: PlacedTask): Promise<TaskEnd>;
  /** Waits for the end of a task that was found on a held worker, then releases its charge. */
  awaitEnd(held: HeldWorker, task: RunningTask): Promise<void>;
  /** The outcome of a task on a held worker, or undefined if the worker is not held here. */
  join(worker: string, task: TaskId): Promise<TaskOutcome | TaskNeverSeen | undefined>;
  running(): number;
}

interface RunnerOptions {
  readonly heldWorkers: HeldWorkers;
  readonly health: HealthTracker;
  readonly timeline: Timeline;
  readonly release: (task: TaskId, worker: string) => void;
  readonly owner: string;
  readonly leaseMs: number;
  readonly signal: AbortSignal;
}

export function createTaskRunner(options: RunnerOptions): TaskRunner {
  const { heldWorkers, health, timeline, signal } = options;
  let running = 0;

  async function run(placed: PlacedTask): Promise<TaskEnd> {
    running += 1;
    try {
      return await startAndAwaitEnd(placed);
    } finally {
      running -= 1;
    }
  }

  async function startAndAwaitEnd(placed: PlacedTask): Promise<TaskEnd> {
    const task = taskIdOf(placed.request, placed.index);
    const held = heldWorkers.get(placed.worker);
    if (held === undefined) {
      options.release(task, placed.worker);
      const detail = `Worker ${placed.worker} moved to another host before the start.`;
      return { outcome: refuse('worker-refused', detail), ended: true };
    }
    const startedAt = recordEvent(placed, 'task-started', `epoch ${String(held.epoch)}`);
    heldWorkers.recordStart(placed.worker);
    const { bootId } = held;
    const outcome = await held.client.start(createTaskStart(placed, held, options));
    if (outcome.kind === 'refused') heldWorkers.recheck(placed.worker);
    const end =
      outcome.kind === 'unknown'
        ? await resolveUnknown(held, { task, bootId }, outcome)
        : { outcome, ended: true };
    recordEnd(placed, held, end, startedAt);
    return end;
  }

  function recordEnd(
    placed: PlacedTask,
    held: HeldWorker,
    { outcome, ended }: TaskEnd,
    startedAt: number,
  ): void {
    const { request, worker } = placed;
    const task = taskIdOf(request, placed.index);
    if (outcome.kind === 'done') health.record(worker, request.entry, true);
    if (outcome.kind === 'failed') health.record(worker, request.entry, false);
    if (ended) options.release(task, worker);
    else void releaseWhenExpired(held, task);
    const elapsed = `${String(Date.now() - startedAt)} ms`;
    recordEvent(placed, `task-${outcome.kind}`, 'detail' in outcome ? outcome.detail : elapsed);
  }

  /** Asks the worker until the task's end is certain or the worker does not know the task. */
  async function resolveUnknown(
    held: HeldWorker,
    { task, bootId }: StartedTask,
    unknown: UnknownOutcome,
  ): Promise<TaskEnd> {
    while (!signal.aborted) {
      const joined = await held.client.join(task);
      if (joined.kind === 'done' || joined.kind === 'failed') {
        return { outcome: joined, ended: true };
      }
      // The start may still be in flight to a worker that has not seen the task.
      if (joined.kind === 'never-seen') {
        return { outcome: unknown, ended: joined.bootId !== bootId };
      }
      if (heldWorkers.leasesExpired(held.worker.id)) return { outcome: unknown, ended: true };
      if (heldWorkers.get(held.worker.id) !== held) return { outcome: unknown, ended: false };
      await pause(JOIN_RETRY_MS);
    }
    return { outcome: unknown, ended: false };
  }

  async function releaseWhenExpired(held: HeldWorker, task: TaskId): Promise<void> {
    await pause(options.leaseMs);
    while (!signal.aborted && heldWorkers.get(held.worker.id) === held) {
      const joined = await held.client.join(task);
      if (joined.kind !== 'unknown' || heldWorkers.leasesExpired(held.worker.id)) break;
      await pause(JOIN_RETRY_MS);
    }
    options.release(task, held.worker.id);
  }

  async function awaitEnd(held: HeldWorker, task: RunningTask): Promise<void> {
    const unknown = unknownOutcome(`Worker ${held.worker.id} did not answer.`);
    await resolveUnknown(held, { task: task.id, bootId: held.bootId }, unknown);
    if (heldWorkers.get(held.worker.id) === held) options.release(task.id, held.worker.id);
  }

  async function pause(ms: number): Promise<void> {
    await delay(ms, undefined, { ref: false, signal }).catch(() => undefined);
  }

  function recordEvent({ request, worker }: PlacedTask, kind: string, detail: string): number {
    timeline.record({ kind, request: request.id, team: request.team, worker, detail });
    return Date.now();
  }

  return {
    run,
    awaitEnd,
    join: async (worker, task) => heldWorkers.get(worker)?.client.join(task),
    running: () => running,
  };
}

function createTaskStart(
  { request, index }: PlacedTask,
  held: HeldWorker,
  { owner, leaseMs }: RunnerOptions,
) {
  return {
    id: taskIdOf(request, index),
    team: request.team,
    entry: request.entry,
    class: request.class,
    size: request.size,
    chargedTo: owner,
    epoch: held.epoch,
    leaseMs,
    maxRunMs: request.maxRunMs,
    input: request.input,
    contentType: request.contentType,
  };
}
