/**
 * Delay scheduling: decides how long work waits for the place where it takes least time. A task away from its data rack,
 * or a rack-sensitive gang on more than one rack, takes `remoteFactor` times as long, so a short wait for room at the
 * place can end the work sooner than a start elsewhere at once.
 *
 * Work is held back only while it is expected to end sooner at the place than elsewhere. The wait is bounded by the time
 * that the place would have saved when the wait began, whatever the forecast says later, and by the latest start
 * elsewhere at which the job still meets its objective. Work that is held back takes no room. The openings that it waits
 * for count as taken only for other work that would wait for them too.
 */
import type { CandidateWorker, WaitingStep } from './candidates.js';
import { createRoomForecast } from './room-forecast.js';
import type { Opening } from './room-forecast.js';
import { ENOUGH_FACTOR } from './speed.js';

/** Wait of a step for its place, kept from round to round. */
export interface Hold {
  /** Latest time at which room at the place is still waited for. */
  readonly untilMs: number;
  /** Tasks that were held back, with the time at which each was first. */
  readonly heldSince: Map<number, number>;
}

/** Waits by the key of the step. */
export type Holds = Map<string, Hold>;

/** Part of the time elsewhere that the place has to save; a smaller gain is within the error of the forecast. */
const MIN_GAIN = 0.1;

export interface LocalityOptions {
  readonly nowMs: number;
  /** How many times as long work takes away from its place. */
  readonly remoteFactor: number;
  readonly holds: Holds;
}

/** Decisions of one planning round. */
export interface Locality {
  readonly remoteFactor: number;
  /**
   * Returns a function that decides whether a task of the step waits for its data rack instead of a start on the given
   * worker. `runnable` lists the workers that may run the step, with or without room.
   */
  holdTasksOf(
    step: WaitingStep,
    runnable: () => readonly CandidateWorker[],
  ): (task: number, worker: CandidateWorker) => boolean;
  /** Whether to hold back a gang that would take `elsewhereMs` on several racks; the places are single racks. */
  holdGang(
    step: WaitingStep,
    elsewhereMs: number,
    places: readonly (readonly CandidateWorker[])[],
  ): boolean;
  /** How long the task was held back; undefined if it was not. */
  heldMs(step: WaitingStep, task: number): number | undefined;
  /** Number of tasks of the step that this round holds back. */
  heldTasks(step: WaitingStep): number;
}

export function createLocality({ nowMs, remoteFactor, holds }: LocalityOptions): Locality {
  const forecast = createRoomForecast(nowMs);
  const heldNow = new Map<string, number>();

  /** Latest end at the place that is worth a wait. */
  function latestEndMs(elsewhereMs: number): number {
    return nowMs + elsewhereMs * (1 - MIN_GAIN);
  }

  function hold(
    step: WaitingStep,
    tasks: readonly number[],
    elsewhereMs: number,
    opening: Opening | undefined,
  ): boolean {
    if (opening === undefined || step.longRunning) return false;
    const { startMs, runMs, claims } = opening;
    if (runMs >= elsewhereMs) return false;
    if (startMs + runMs > latestEndMs(elsewhereMs)) return false;
    const found = holds.get(step.key) ?? {
      untilMs: latestStartMs(step, nowMs, { elsewhereMs, savingMs: elsewhereMs - runMs }),
      heldSince: new Map<number, number>(),
    };
    if (startMs > found.untilMs) return false;
    holds.set(step.key, found);
    for (const task of tasks) {
      if (!found.heldSince.has(task)) found.heldSince.set(task, nowMs);
    }
    heldNow.set(step.key, (heldNow.get(step.key) ?? 0) + tasks.length);
    forecast.claim(claims);
    return true;
  }

  function listOpenings(
    step: WaitingStep,
    workers: readonly CandidateWorker[],
    endMs: number,
  ): Opening[] {
    const place = workers.filter(({ rack }) => rack === step.dataRack);
    return [...forecast.listForTasks(step, place, endMs)];
  }

  return {
    remoteFactor,
    holdTasksOf: (step, runnable) => {
      const { dataRack } = step;
      if (dataRack === undefined) return () => false;
      let openings: Opening[] | undefined;
      let isWorthwhile = true;
      return (task, worker) => {
        // The tasks are alike, so once a wait is not worthwhile for one, it is not for those behind it.
        if (!isWorthwhile || worker.rack === dataRack) return false;
        const elsewhereMs = (step.workMs * remoteFactor) / worker.speed;
        openings ??= listOpenings(step, runnable(), latestEndMs(elsewhereMs));
        const index = openings.findIndex(
          ({ claims }) => ![...claims.keys()].some((id) => step.avoids(task, id)),
        );
        const [opening] = index < 0 ? [] : openings.splice(index, 1);
        isWorthwhile = hold(step, [task], elsewhereMs, opening);
        return isWorthwhile;
      };
    },
    holdGang: (step, elsewhereMs, places) =>
      hold(
        step,
        step.tasks,
        elsewhereMs,
        forecast.findForGang(step, places, latestEndMs(elsewhereMs)),
      ),
    heldMs: (step, task) => {
      const since = holds.get(step.key)?.heldSince.get(task);
      return since === undefined ? undefined : nowMs - since;
    },
    heldTasks: ({ key }) => heldNow.get(key) ?? 0,
  };
}

/**
 * Latest start at the place that is worth a wait: not beyond the saving, and not so late that the job would miss its
 * objective, or become useless, by a start elsewhere after the wait.
 */
function latestStartMs(
  step: WaitingStep,
  nowMs: number,
  { elsewhereMs, savingMs }: { readonly elsewhereMs: number; readonly savingMs: number },
): number {
  const restMs = Math.max(0, step.remainingMs - step.workMs);
  const reachable = [step.objectiveAtMs, step.uselessAtMs].find(
    (deadline) => nowMs + elsewhereMs + restMs <= deadline,
  );
  const latestMs = (reachable ?? Infinity) - restMs - elsewhereMs * ENOUGH_FACTOR;
  return Math.min(nowMs + savingMs, latestMs);
}

/** Discards the waits of steps that have no waiting tasks any more. */
export function pruneHolds(holds: Holds, steps: readonly WaitingStep[]): void {
  if (holds.size === 0) return;
  const waiting = new Set(steps.map(({ key }) => key));
  for (const key of holds.keys()) if (!waiting.has(key)) holds.delete(key);
}
