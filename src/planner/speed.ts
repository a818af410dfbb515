/**
 * Placement on workers that differ in speed. Work with little slack goes to workers that are fast enough for it, work
 * with ample slack leaves fast workers free, and the members of a gang go to workers of similar speed, because a gang
 * ends with its slowest member and holds the workers of the faster ones until then.
 *
 * Speeds are learned from the ends of runs, so differences of a few percent carry no information. Where all workers are
 * alike, nothing here changes a placement.
 */
import type { CandidateWorker, WaitingStep } from './candidates.js';
import { slotsFreeFor, withoutFailed } from './pool.js';

/** Workers whose speeds differ by at most this factor count as alike; tasks of one step vary by about 15 %. */
export const ALIKE_FACTOR = 1.1;
/** A worker is fast enough if the work could take this much longer than expected; estimates are off by up to 20 %. */
export const ENOUGH_FACTOR = 1.2;
/** With so much more speed than needed, slack is ample: one failed attempt of the task still leaves it on time. */
const AMPLE_FACTOR = 2;
/** Cost by which a ratio of speeds counts; at a ratio of 1.3 it outweighs the largest difference in packing, which is 1. */
const UNLIKE_COST = 6;
/** Less than the cost of another rack, so that speed alone does not outweigh locality. */
const MAX_UNLIKE_COST = 3.9;
/** More than the cost of another rack and of packing, so that a place that is on time goes before one that is late. */
const LATE_COST = 5.1;

/**
 * Time that a task takes beside its work: the record of its order, its start, the record of its end and the caller's next
 * query.
 */
const OVERHEAD_MS = 150;

/** Speed that a worker needs to end a task of the step on time; infinite if the step is late on any worker. */
export function neededSpeed(step: WaitingStep, nowMs: number): number {
  // The end of work that is of no use any more does not matter.
  if (nowMs + step.remainingMs > step.uselessAtMs) return 0;
  const restMs = Math.max(0, step.remainingMs - step.workMs);
  const leftMs = step.objectiveAtMs - nowMs - restMs - OVERHEAD_MS;
  return leftMs > 0 ? (ENOUGH_FACTOR * step.workMs) / leftMs : Infinity;
}

/**
 * Cost of the speed of each of the workers for a task of the step; undefined if they are alike. With a factor by which
 * work away from its data rack takes longer, the cost follows the time on the worker, and being late outweighs locality.
 */
export function speedCostsFor(
  step: WaitingStep,
  workers: readonly CandidateWorker[],
  { nowMs, remoteFactor }: { readonly nowMs: number; readonly remoteFactor: number | undefined },
): readonly number[] | undefined {
  const { dataRack } = step;
  const isPlaced = remoteFactor !== undefined && dataRack !== undefined;
  const { slowest, fastest } = speedRangeOf(workers);
  if (!isPlaced && areAlike(slowest, fastest)) return undefined;
  const perceived = ({ speed, rack }: CandidateWorker) =>
    isPlaced && rack !== dataRack ? speed / remoteFactor : speed;
  const needed = neededSpeed(step, nowMs);
  const enough = Math.min(needed, Math.max(...workers.map(perceived)));
  const ample =
    step.priority === 0 ? Infinity : Math.max((needed * AMPLE_FACTOR) / ENOUGH_FACTOR, slowest);
  return workers.map((worker) => {
    const shortfall = unlikeCost(enough / perceived(worker));
    const lateCost = isPlaced && shortfall > 0 ? LATE_COST : 0;
    return lateCost + shortfall + unlikeCost(worker.speed / ample);
  });
}

function speedRangeOf(workers: readonly CandidateWorker[]): SpeedRange {
  let slowest = Infinity;
  let fastest = 0;
  for (const { speed } of workers) {
    if (speed < slowest) slowest = speed;
    if (speed > fastest) fastest = speed;
  }
  return { slowest, fastest };
}

function areAlike(slowest: number, fastest: number): boolean {
  return fastest <= slowest * ALIKE_FACTOR;
}

function unlikeCost(ratio: number): number {
  if (!(ratio > ALIKE_FACTOR)) return 0;
  return Math.min(MAX_UNLIKE_COST, UNLIKE_COST * (ratio / ALIKE_FACTOR - 1));
}

/**
 * Chooses the workers for a gang by their speed: the slowest workers of similar speed that hold it and end it on time,
 * or those that differ least, or the ones that end it soonest if it is late on all of them. Returns all workers if they
 * are alike or do not hold the gang. `remoteFactor`: how many times as long the gang takes on these workers.
 */
export function chooseAlike(
  step: WaitingStep,
  workers: readonly CandidateWorker[],
  nowMs: number,
  remoteFactor = 1,
): readonly CandidateWorker[] {
  const { slowest, fastest } = speedRangeOf(workers);
  if (areAlike(slowest, fastest)) return workers;
  const needed = remoteFactor * neededSpeed(step, nowMs);
  for (const members of [withoutFailed(step, workers), workers]) {
    const range = findSpeedRange(sortBySpeed(step, members), step.waiting, needed);
    if (range === undefined) continue;
    return members.filter(({ speed }) => speed >= range.slowest && speed <= range.fastest);
  }
  return workers;
}

interface SpeedSlots {
  readonly speed: number;
  readonly slots: number;
}

/** The slots of each worker that has room for the gang, the slowest worker first. */
function sortBySpeed(step: WaitingStep, workers: readonly CandidateWorker[]): SpeedSlots[] {
  return workers
    .map((worker) => ({
      speed: worker.speed,
      slots: Math.min(step.waiting, slotsFreeFor(step, worker)),
    }))
    .filter(({ slots }) => slots > 0)
    .sort((left, right) => left.speed - right.speed);
}

interface SpeedRange {
  readonly slowest: number;
  readonly fastest: number;
}

function findSpeedRange(
  sorted: readonly SpeedSlots[],
  wanted: number,
  needed: number,
): SpeedRange | undefined {
  let best: SpeedRange | undefined;
  let leastSpread = Infinity;
  let soonest: SpeedRange | undefined;
  let slots = 0;
  let end = 0;
  for (const first of sorted) {
    while (slots < wanted && end < sorted.length) {
      slots += sorted[end]?.slots ?? 0;
      end += 1;
    }
    if (slots < wanted) break;
    slots -= first.slots;
    soonest = { slowest: first.speed / ALIKE_FACTOR, fastest: Infinity };
    if (first.speed < needed) continue;
    const alikeUntil = first.speed * ALIKE_FACTOR;
    const fastest = Math.max(alikeUntil, sorted[end - 1]?.speed ?? 0);
    const spread = fastest / first.speed;
    if (spread >= leastSpread) continue;
    best = { slowest: first.speed, fastest };
    leastSpread = spread;
  }
  return best ?? soonest;
}
