/**
 * Reserves capacity on the workers of this host for tasks that another host, or its own gang coordinator,
 * is about to start. A reservation that is not used in time expires.
 */
import { refuse, type TaskId, type WorkRequest } from '../model/index.js';
import type { Scheduler } from '../scheduling/index.js';
import type { TaskOutcome } from '../workers/index.js';
import type { HeldWorkers } from './held-workers.js';
import type { ReservedTask, ReserveMessage } from './messages.js';
import type { PlacedTask, TaskRunner } from './task-runner.js';

export interface Reservations {
  /** Reserves capacity for up to `count` tasks. */
  reserve(message: ReserveMessage): readonly ReservedTask[];
  /** Starts a reserved task and waits for its outcome. */
  run(task: TaskId, request: WorkRequest): Promise<TaskOutcome>;
  release(tasks: readonly TaskId[]): void;
  /** Number of reserved tasks that were not started yet. */
  waiting(): number;
}

interface Reservation {
  readonly placed: PlacedTask;
  readonly expiry: NodeJS.Timeout;
}

export function createReservations(options: {
  readonly scheduler: Scheduler;
  readonly runner: TaskRunner;
  readonly heldWorkers: HeldWorkers;
  readonly onReleased: () => void;
}): Reservations {
  const { scheduler, runner, heldWorkers } = options;
  const reserved = new Map<TaskId, Reservation>();

  function reserve({
    request,
    count,
    firstTask,
    expiresInMs,
  }: ReserveMessage): readonly ReservedTask[] {
    return scheduler.reserve(request, count, firstTask).map(({ task, index, worker }) => {
      const expiry = setTimeout(() => {
        release([task]);
      }, expiresInMs);
      expiry.unref();
      reserved.set(task, { placed: { request, index, worker }, expiry });
      return { task, worker, bootId: heldWorkers.get(worker)?.bootId ?? '' };
    });
  }

  async function run(task: TaskId, request: WorkRequest): Promise<TaskOutcome> {
    const reservation = takeReservation(task);
    if (reservation === undefined) {
      return refuse('worker-refused', `The reservation of task ${task} has expired.`);
    }
    // The coordinator may have refreshed the request since the reservation.
    const { outcome } = await runner.run({ ...reservation.placed, request });
    options.onReleased();
    return outcome;
  }

  function release(tasks: readonly TaskId[]): void {
    for (const task of tasks) {
      const reservation = takeReservation(task);
      if (reservation !== undefined) scheduler.finished(task, reservation.placed.worker);
    }
    options.onReleased();
  }

  function takeReservation(task: TaskId): Reservation | undefined {
    const reservation = reserved.get(task);
    if (reservation === undefined) return undefined;
    clearTimeout(reservation.expiry);
    reserved.delete(task);
    return reservation;
  }

  return { reserve, run, release, waiting: () => reserved.size };
}
