/**
 * Choice of the workers that a waiting gang reserves.
 */
import type { CandidateWorker, WaitingStep } from './candidates.js';
import { freeShare, isAllowed, slotsIn } from './pool.js';
import { ALIKE_FACTOR, neededSpeed } from './speed.js';

interface FittingWorker {
  readonly worker: CandidateWorker;
  /** Tasks of the gang that the worker would hold if it were empty. */
  readonly slots: number;
}

/**
 * Chooses the workers that a gang reserves among those that may run it, the emptiest first, until the gang would
 * fit if they were empty. Workers of similar speed on which it ends on time go before others, and of several such sets
 * the emptiest, because it has room soonest. Returns nothing if the gang would fit on no set of workers.
 */
export function workersToReserve(
  step: WaitingStep,
  pool: readonly CandidateWorker[],
  nowMs: number,
): string[] {
  const fitting = pool
    .filter((worker) => isAllowed(step, worker, new Map()))
    .map((worker) => ({ worker, slots: slotsIn(worker.room, step.size) }))
    .filter(({ slots }) => slots > 0)
    .sort((left, right) => freeShare(right.worker) - freeShare(left.worker));
  const chosen =
    chooseEmptiestAlike(step, fitting, neededSpeed(step, nowMs)) ??
    takeUntilFits(fitting, step.waiting);
  return chosen?.map(({ worker }) => worker.id) ?? [];
}

function chooseEmptiestAlike(
  step: WaitingStep,
  fitting: readonly FittingWorker[],
  needed: number,
): readonly FittingWorker[] | undefined {
  const speeds = fitting.map(({ worker }) => worker.speed).sort((left, right) => left - right);
  let best: readonly FittingWorker[] | undefined;
  let leastUsed = Infinity;
  let alikeUntil = 0;
  for (const slowest of speeds) {
    if (slowest <= alikeUntil) continue;
    alikeUntil = slowest * ALIKE_FACTOR;
    if (slowest < needed) continue;
    const fastest = alikeUntil;
    const alike = fitting.filter(({ worker: { speed } }) => speed >= slowest && speed <= fastest);
    const chosen = takeUntilFits(alike, step.waiting);
    if (chosen === undefined) continue;
    const used = chosen.reduce((sum, { worker }) => sum + 1 - freeShare(worker), 0);
    if (used >= leastUsed) continue;
    best = chosen;
    leastUsed = used;
  }
  return best;
}

function takeUntilFits(
  workers: readonly FittingWorker[],
  wanted: number,
): readonly FittingWorker[] | undefined {
  const taken: FittingWorker[] = [];
  let slots = 0;
  for (const fitting of workers) {
    if (slots >= wanted) break;
    slots += fitting.slots;
    taken.push(fitting);
  }
  return slots >= wanted ? taken : undefined;
}
