/**
 * What the workers of a service and the limits of teams can hold, now and in principle.
 */
import {
  addTasks,
  fitsWithin,
  maxResources,
  NO_RESOURCES,
  ROUNDING_TOLERANCE,
} from '../model/index.js';
import type { Resources } from '../model/index.js';
import type { CandidateWorker, TeamBudget, WaitingStep } from './candidates.js';

export interface Pool {
  /** All workers of the service, also those that are given no tasks at present. */
  readonly all: CandidateWorker[];
  /** The workers that can be given tasks, those with the most free processors first. */
  readonly workers: CandidateWorker[];
  /** The most of each resource that any worker has, used or not. */
  largest: Resources;
  /** Free processors of each of `workers` at the start of the round. Placements only reduce what is free. */
  freeAtStart: readonly number[];
  /** Steps that were tried in this round and have tasks left. */
  unplacedSteps: number;
}

export function groupByService(workers: readonly CandidateWorker[]): Map<string, Pool> {
  const pools = new Map<string, Pool>();
  for (const worker of workers) {
    let pool = pools.get(worker.service);
    if (pool === undefined) {
      pool = {
        all: [],
        workers: [],
        largest: NO_RESOURCES,
        freeAtStart: [],
        unplacedSteps: 0,
      };
      pools.set(worker.service, pool);
    }
    pool.all.push(worker);
    pool.largest = maxResources(pool.largest, worker.room);
    if (worker.healthStatus === 'avoided' || isInTrial(worker)) continue;
    pool.workers.push(worker);
  }
  for (const pool of pools.values()) {
    pool.workers.sort((left, right) => right.free.processors - left.free.processors);
    pool.freeAtStart = pool.workers.map(({ free }) => free.processors);
  }
  return pools;
}

/** Whether the worker runs what decides about it; it gets nothing else until that ends. */
export function isInTrial({ healthStatus, runs }: CandidateWorker): boolean {
  return healthStatus === 'trial' && runs > 0;
}

/** In a full cell few workers have room, so that hundreds of waiting steps are not compared with all workers. */
export function workersWithRoom(
  { workers, freeAtStart }: Pool,
  size: Resources,
): CandidateWorker[] {
  return workers
    .slice(0, countAtLeast(freeAtStart, size.processors - ROUNDING_TOLERANCE))
    .filter((worker) => fitsWithin(size, worker.free) && !isInTrial(worker));
}

/** Those of the workers on which the step may ever run, as far as is known. */
export function runnableOf(
  { constraint }: WaitingStep,
  workers: readonly CandidateWorker[],
): readonly CandidateWorker[] {
  return constraint === undefined ? workers : constraint.runnable(workers);
}

/** Number of values, sorted from the largest, that are at least `least`. */
export function countAtLeast(sorted: readonly number[], least: number): number {
  let low = 0;
  let high = sorted.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((sorted[middle] ?? 0) >= least) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Tasks of the step that have to be placed together, at least. */
export function tasksAtOnce({ gang, waiting }: WaitingStep): number {
  return gang ? waiting : 1;
}

/** Whether the workers have room for the waiting gang, or for one task of a step that is none. */
export function canHold(step: WaitingStep, workers: readonly CandidateWorker[]): boolean {
  return hasSlots(step, workers, (worker) => slotsFreeFor(step, worker));
}

/** Number of tasks of the step for which the worker has room now. */
export function slotsFreeFor(step: WaitingStep, worker: CandidateWorker): number {
  if (!hasLabel(step, worker)) return 0;
  const most = (step.maxPerWorker ?? Infinity) - (step.placed.get(worker.id) ?? 0);
  return Math.max(0, Math.min(most, slotsIn(worker.free, step.size)));
}

/** The workers on which no waiting task of the step has failed. */
export function withoutFailed(
  { tasks, avoids }: WaitingStep,
  workers: readonly CandidateWorker[],
): readonly CandidateWorker[] {
  return workers.filter(({ id }) => !tasks.some((task) => avoids(task, id)));
}

/** Whether the step could run if the workers were empty, trusted and permitted, and its team used nothing. */
export function couldEverRun(
  step: WaitingStep,
  { all, largest }: Pool,
  budgets: ReadonlyMap<string, TeamBudget>,
): boolean {
  if (!fitsWithin(step.size, largest)) return false;
  const budget = budgets.get(step.team);
  if (
    budget !== undefined &&
    !isWithinLimit(budget.limit, addTasks(NO_RESOURCES, step.size, tasksAtOnce(step)))
  )
    return false;
  return couldHold(step, all);
}

/** Whether the workers would have room for the waiting gang, or for one task of another step, if they were empty. */
export function couldHold(step: WaitingStep, workers: readonly CandidateWorker[]): boolean {
  return hasSlots(step, workers, ({ room }) =>
    Math.min(step.maxPerWorker ?? Infinity, slotsIn(room, step.size)),
  );
}

function hasSlots(
  step: WaitingStep,
  workers: readonly CandidateWorker[],
  slotsOn: (worker: CandidateWorker) => number,
): boolean {
  let missing = tasksAtOnce(step);
  for (const worker of workers) {
    if (!hasLabel(step, worker)) continue;
    missing -= slotsOn(worker);
    if (missing <= 0) return true;
  }
  return false;
}

function hasLabel({ requiredLabel }: WaitingStep, { labels }: CandidateWorker): boolean {
  return requiredLabel === undefined || labels.includes(requiredLabel);
}

/** Whether one more task of the step may be placed on the worker, beside those that the round has added. */
export function isAllowed(
  step: WaitingStep,
  worker: CandidateWorker,
  added: ReadonlyMap<string, number>,
): boolean {
  if (!hasLabel(step, worker)) return false;
  if (step.maxPerWorker === undefined) return true;
  const present = (step.placed.get(worker.id) ?? 0) + (added.get(worker.id) ?? 0);
  return present < step.maxPerWorker;
}

/** Share of the worker's processors that is free. */
export function freeShare({ free, room }: CandidateWorker): number {
  return room.processors > 0 ? free.processors / room.processors : 0;
}

/** Number of tasks of this size that fit into the given resources; infinite for a size of zero. */
export function slotsIn(room: Resources, size: Resources): number {
  const ratio = (whole: number, part: number) =>
    part > 0 ? Math.floor((whole + ROUNDING_TOLERANCE) / part) : Infinity;
  const slots = Math.min(
    ratio(room.processors, size.processors),
    ratio(room.memoryMb, size.memoryMb),
    ratio(room.accelerators, size.accelerators),
  );
  return Math.max(0, slots);
}

/** Whether `count` more tasks stay within the team's limit. */
export function withinBudget(
  step: WaitingStep,
  budgets: ReadonlyMap<string, TeamBudget>,
  count: number,
): boolean {
  const budget = budgets.get(step.team);
  if (budget === undefined) return true;
  return isWithinLimit(budget.limit, addTasks(budget.used, step.size, count));
}

/** A limit of 0 means unlimited. */
function isWithinLimit(limit: Resources, wanted: Resources): boolean {
  const within = (most: number, amount: number) => most === 0 || amount <= most;
  return (
    within(limit.processors, wanted.processors) &&
    within(limit.memoryMb, wanted.memoryMb) &&
    within(limit.accelerators, wanted.accelerators)
  );
}
