/**
 * One planning round: assigns workers to the tasks of the waiting steps, in the order of the steps.
 *
 * A gang that does not fit yet reserves the workers that will have room for it soonest. Without the
 * reservation, smaller tasks behind the gang would take each piece of capacity as it becomes free and starve a
 * wide gang in a full cell. Tasks go to the fullest worker that fits them (best fit), which keeps large
 * blocks of capacity free for wide work.
 *
 * In an overload hundreds of steps wait, and nearly all of them fit nowhere. After a number of such steps a round tries
 * only a fraction of those behind them, a different one each time, so that its cost grows slowly with the backlog. Steps
 * that no worker of the pool could ever run are left out before that, and take nothing from the others.
 */
import { addTasks, fitsWithin, subtractResources } from '../model/index.js';
import type { Resources } from '../model/index.js';
import type {
  CandidateWorker,
  Placement,
  PlacementBarrier,
  TeamBudget,
  WaitingStep,
} from './candidates.js';
import { chooseForGang, chooseMembers, isTrusted, listPlaces, placeOf } from './gang-members.js';
import { createLocality, pruneHolds } from './locality.js';
import type { Hold, Holds, Locality } from './locality.js';
import { isLate, orderSteps } from './order.js';
import {
  canHold,
  couldEverRun,
  freeShare,
  groupByService,
  isAllowed,
  isInTrial,
  runnableOf,
  tasksAtOnce,
  withinBudget,
  workersWithRoom,
} from './pool.js';
import { workersToReserve } from './reservation.js';
import { speedCostsFor } from './speed.js';

/** Number of gangs that may reserve workers at the same time; each reservation leaves capacity idle. */
const MAX_RESERVING_GANGS = 2;

/** Steps of a service that fit nowhere, or only in part, before a round tries only a fraction of the rest. */
const MAX_UNPLACED_STEPS = 150;
/** One in so many of the steps behind them is tried. With rounds 0.15 s apart each has its turn in about a second. */
const TAIL_STRIDE = 8;

export interface PlanOptions {
  readonly nowMs: number;
  readonly workers: readonly CandidateWorker[];
  readonly steps: readonly WaitingStep[];
  readonly budgets: ReadonlyMap<string, TeamBudget>;
  readonly maxReservingGangs?: number;
  readonly maxUnplacedSteps?: number;
  /** Tasks of deferrable work after which no further step of it is placed; by default, there is no limit. */
  readonly maxDeferrableTasks?: number;
  /** Number of the round, which selects the fraction of a long backlog that is tried. */
  readonly round?: number;
  /** How many times as long work takes away from its place; if unset, work does not wait for its place. */
  readonly remoteFactor?: number | undefined;
  /** Waits of steps for their place, which the caller keeps from round to round. */
  readonly holds?: Holds;
  /** Called for each step that was considered and has waiting tasks left. */
  readonly onBlocked?: (step: WaitingStep, barrier: PlacementBarrier) => void;
}

/** What the placement of one step depends on beside the workers with room. */
interface StepRound {
  readonly nowMs: number;
  readonly locality: Locality | undefined;
  /** Workers that may run the step, with or without room. */
  readonly runnable: () => readonly CandidateWorker[];
}

/** Assigns workers to tasks and charges the placements to the given workers and budgets. */
export function planRound(options: PlanOptions): Placement[] {
  const {
    nowMs,
    workers,
    steps,
    budgets,
    maxReservingGangs = MAX_RESERVING_GANGS,
    maxUnplacedSteps = MAX_UNPLACED_STEPS,
    maxDeferrableTasks = Infinity,
    round = 0,
    remoteFactor,
    holds = new Map<string, Hold>(),
    onBlocked = () => undefined,
  } = options;
  const pools = groupByService(workers);
  const reserved = new Set<string>();
  const placements: Placement[] = [];
  let reservingGangs = 0;
  let deferrableTasks = 0;
  const locality =
    remoteFactor === undefined ? undefined : createLocality({ nowMs, remoteFactor, holds });
  pruneHolds(holds, steps);

  for (const [position, step] of orderSteps(steps, nowMs).entries()) {
    const pool = pools.get(step.service);
    if (pool === undefined || !couldEverRun(step, pool, budgets)) {
      onBlocked(step, 'pool');
      continue;
    }
    // Steps that wait for their team's other work or for an answer of the advice service cost next to nothing.
    if (!withinBudget(step, budgets, tasksAtOnce(step))) {
      onBlocked(step, 'limit');
      continue;
    }
    if (step.constraint?.known === false) continue;
    const isDeferrable = step.priority !== 0;
    if (isDeferrable && deferrableTasks >= maxDeferrableTasks) {
      onBlocked(step, 'leader');
      continue;
    }
    const isBehind = pool.unplacedSteps >= maxUnplacedSteps;
    if (isBehind && (position + round) % TAIL_STRIDE !== 0) continue;
    // Urgent work is short and may use workers that a gang has reserved.
    const isOpen = ({ id }: CandidateWorker) => step.priority === 0 || !reserved.has(id);
    const candidates = workersWithRoom(pool, step.size).filter(isOpen);
    const startable =
      step.constraint === undefined ? candidates : step.constraint.startable(candidates);
    const usable = (members: readonly CandidateWorker[]) =>
      step.gang ? chooseForGang(step, members, pool, isLate(step, nowMs)) : members;
    const place = step.gang ? placeGang : placeTasks;
    const runnable = () => runnableOf(step, pool.workers.filter(isOpen));
    const context = { nowMs, locality, runnable };
    const placed = startable.length === 0 ? [] : place(step, usable(startable), budgets, context);
    placements.push(...placed);
    if (isDeferrable) deferrableTasks += placed.length;
    if (placed.length === step.waiting) continue;
    // Work that waits for its place although it fits elsewhere holds up nothing behind it.
    if (placed.length + (locality?.heldTasks(step) ?? 0) >= step.waiting) {
      onBlocked(step, 'room');
      continue;
    }
    pool.unplacedSteps += 1;
    onBlocked(step, findBarrier(step, usable(runnableOf(step, candidates)), budgets));
    const mustWait = step.gang && placed.length === 0;
    if (!mustWait || reservingGangs >= maxReservingGangs || isLate(step, nowMs)) continue;
    const reservation = workersToReserve(step, runnable(), nowMs);
    if (reservation.length === 0) continue;
    reservingGangs += 1;
    for (const id of reservation) reserved.add(id);
  }
  return placements;
}

/** What keeps the tasks that are left from a place on the workers that may run them and have room. */
function findBarrier(
  step: WaitingStep,
  runnable: readonly CandidateWorker[],
  budgets: ReadonlyMap<string, TeamBudget>,
): PlacementBarrier {
  if (!withinBudget(step, budgets, tasksAtOnce(step))) return 'limit';
  return step.constraint !== undefined && canHold(step, runnable) ? 'permit' : 'room';
}

function placeTasks(
  step: WaitingStep,
  pool: readonly CandidateWorker[],
  budgets: ReadonlyMap<string, TeamBudget>,
  { nowMs, locality, runnable }: StepRound,
): Placement[] {
  const placements: Placement[] = [];
  const added = new Map<string, number>();
  const remoteFactor = locality?.remoteFactor;
  const speedCosts = speedCostsFor(step, pool, { nowMs, remoteFactor });
  const isHeldBack = locality?.holdTasksOf(step, runnable);
  const hasLocal = pool.some(({ rack }) => rack === step.dataRack);
  let elsewhere: CandidateWorker | undefined;
  for (const task of step.tasks) {
    if (!withinBudget(step, budgets, 1)) break;
    // A task that is held back changes nothing for the next, so a wide step does not search all workers for each.
    if (elsewhere !== undefined && isHeldBack?.(task, elsewhere) === true) continue;
    const worker = chooseWorker(step, task, pool, added, speedCosts);
    // All tasks of a step have the same requirements, so the others find no worker either.
    if (worker === undefined) break;
    if (elsewhere === undefined && isHeldBack?.(task, worker) === true) {
      if (!hasLocal) elsewhere = worker;
      continue;
    }
    charge(step, worker, budgets, added);
    placements.push(describePlacement(step, task, worker, locality));
  }
  return placements;
}

/** Places all tasks of the gang or none. */
function placeGang(
  step: WaitingStep,
  pool: readonly CandidateWorker[],
  budgets: ReadonlyMap<string, TeamBudget>,
  { nowMs, locality, runnable }: StepRound,
): Placement[] {
  if (!canHold(step, pool)) return [];
  const remoteFactor = locality?.remoteFactor;
  // The choice of trusted workers over those on trial goes before speed and place.
  const { workers: members, elsewhereMs } = pool.every(isTrusted)
    ? chooseMembers(step, pool, { nowMs, remoteFactor })
    : { workers: pool, elsewhereMs: undefined };
  if (elsewhereMs !== undefined && locality !== undefined) {
    if (locality.holdGang(step, elsewhereMs, listPlaces(step, runnable()))) return [];
  }
  const placements: Placement[] = [];
  const added = new Map<string, number>();
  const touched: { worker: CandidateWorker; free: Resources }[] = [];
  for (const task of step.tasks) {
    const worker = chooseWorker(step, task, members, added);
    if (worker === undefined) {
      for (const { worker: changed, free } of touched.reverse()) {
        changed.free = free;
        changed.runs -= 1;
      }
      return [];
    }
    touched.push({ worker, free: worker.free });
    worker.free = subtractResources(worker.free, step.size);
    worker.runs += 1;
    added.set(worker.id, (added.get(worker.id) ?? 0) + 1);
    placements.push(describePlacement(step, task, worker, locality));
  }
  chargeBudget(step, budgets, placements.length);
  const place = placeOf(
    step,
    touched.map(({ worker }) => worker),
  );
  return placements.map((placement) => ({ ...placement, place }));
}

function describePlacement(
  step: WaitingStep,
  task: number,
  worker: CandidateWorker,
  locality: Locality | undefined,
): Placement {
  return {
    step,
    task,
    worker: worker.id,
    speed: worker.speed,
    place: placeOf(step, [worker]),
    heldMs: locality?.heldMs(step, task),
  };
}

function chooseWorker(
  step: WaitingStep,
  task: number,
  pool: readonly CandidateWorker[],
  added: ReadonlyMap<string, number>,
  speedCosts?: readonly number[],
): CandidateWorker | undefined {
  let best: CandidateWorker | undefined;
  let bestCost = Infinity;
  let index = -1;
  for (const worker of pool) {
    index += 1;
    if (!fitsWithin(step.size, worker.free)) continue;
    if (!isAllowed(step, worker, added)) continue;
    if (isInTrial(worker) && !(step.gang && added.has(worker.id))) continue;
    const cost = placementCost(step, task, worker, added) + (speedCosts?.[index] ?? 0);
    if (cost >= bestCost) continue;
    best = worker;
    bestCost = cost;
  }
  return best;
}

/** Work in another rack takes 1.5 to 3 times as long, which outweighs any gain from tighter packing. */
const REMOTE_COST = 4;
/** A worker on which the task failed before is the last choice, but better than none. */
const FAILED_BEFORE_COST = 40;
/** More than the costs of place, speed and packing together, which are up to 16. */
const TRIAL_COST = 20;
/** A cold worker is a worse choice than any worse fit and a second rack, but better than none. */
const COLD_COST = 2.5;
/**
 * Urgent work has little slack, and a gang ends with its slowest member, so for both a warm worker is better also if it
 * is remote.
 */
const URGENT_COLD_COST = 6;

/** Cost of a placement; lower is better. The base cost is the share of the worker that is free. */
function placementCost(
  step: WaitingStep,
  task: number,
  worker: CandidateWorker,
  added: ReadonlyMap<string, number>,
): number {
  let cost = freeShare(worker);
  if (step.dataRack !== undefined && worker.rack !== step.dataRack) cost += REMOTE_COST;
  if (step.rackSensitive && added.size > 0 && !added.has(worker.id)) cost += REMOTE_COST / 2;
  if (step.avoids(task, worker.id)) cost += FAILED_BEFORE_COST;
  if (worker.healthStatus === 'trial') cost += TRIAL_COST;
  if (worker.cold === true) cost += coldCost(step);
  return cost;
}

function coldCost({ priority, gang }: WaitingStep): number {
  return priority === 0 || gang ? URGENT_COLD_COST : COLD_COST;
}

function charge(
  step: WaitingStep,
  worker: CandidateWorker,
  budgets: ReadonlyMap<string, TeamBudget>,
  added: Map<string, number>,
) {
  worker.free = subtractResources(worker.free, step.size);
  worker.runs += 1;
  added.set(worker.id, (added.get(worker.id) ?? 0) + 1);
  chargeBudget(step, budgets, 1);
}

function chargeBudget(step: WaitingStep, budgets: ReadonlyMap<string, TeamBudget>, count: number) {
  const budget = budgets.get(step.team);
  if (budget === undefined) return;
  budget.used = addTasks(budget.used, step.size, count);
}
