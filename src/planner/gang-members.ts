/**
 * Choice of the workers for the members of a gang, by trust, by speed and by place. The place of a gang is its data rack, or if it
 * is only rack-sensitive any single rack.
 */
import type { CandidateWorker, Placement, WaitingStep } from './candidates.js';
import { canHold, couldHold, runnableOf, slotsFreeFor, withoutFailed } from './pool.js';
import type { Pool } from './pool.js';
import { ALIKE_FACTOR, chooseAlike, neededSpeed } from './speed.js';

/**
 * The workers on which a gang may be placed. A failure of one member costs the whole gang a run, so a gang waits for
 * trusted workers while it can be on time and they could hold it. Otherwise it is a trial like any other work, since
 * nothing else may come that would end the trials.
 */
export function chooseForGang(
  step: WaitingStep,
  workers: readonly CandidateWorker[],
  pool: Pool,
  late: boolean,
): readonly CandidateWorker[] {
  const trusted = workers.filter(isTrusted);
  if (trusted.length === workers.length || canHold(step, trusted)) return trusted;
  if (late || !couldHold(step, runnableOf(step, pool.workers.filter(isTrusted)))) return workers;
  return trusted;
}

export function isTrusted({ healthStatus }: CandidateWorker): boolean {
  return healthStatus === 'trusted';
}

export interface GangMembers {
  readonly workers: readonly CandidateWorker[];
  /** Expected time away from the gang's place; undefined if it is at its place or has none. */
  readonly elsewhereMs: number | undefined;
}

interface Choice {
  readonly workers: readonly CandidateWorker[];
  /** Speed of the slowest member as the gang would see it, less away from its place. */
  readonly speed: number;
  readonly isLocal: boolean;
  readonly slots: number;
}

/**
 * Chooses among the workers that have room. Without a factor the data rack goes first if it holds the gang, and racks do
 * not matter otherwise.
 */
export function chooseMembers(
  step: WaitingStep,
  withRoom: readonly CandidateWorker[],
  { nowMs, remoteFactor }: { readonly nowMs: number; readonly remoteFactor: number | undefined },
): GangMembers {
  // A gang ends with its slowest member, so warm workers go before the place of the gang.
  const warm = withRoom.filter(({ cold }) => cold !== true);
  const open = canHold(step, warm) ? warm : withRoom;
  if (remoteFactor === undefined || !hasPlace(step)) {
    const inRack = open.filter(({ rack }) => rack === step.dataRack);
    const local = canHold(step, inRack) ? inRack : open;
    return { workers: chooseAlike(step, local, nowMs), elsewhereMs: undefined };
  }
  const unfailed = withoutFailed(step, open);
  const workers = canHold(step, unfailed) ? unfailed : open;
  const describe = (chosen: readonly CandidateWorker[], factor: number): Choice => ({
    workers: chosen,
    speed: Math.min(...chosen.map(({ speed }) => speed)) / factor,
    isLocal: factor === 1,
    slots: chosen.reduce((sum, worker) => sum + slotsFreeFor(step, worker), 0),
  });
  const elsewhere = describe(chooseAlike(step, workers, nowMs, remoteFactor), remoteFactor);
  const needed = neededSpeed(step, nowMs);
  const best = listPlaces(step, workers)
    .filter((place) => canHold(step, place))
    .map((place) => describe(chooseAlike(step, place, nowMs), 1))
    .reduce((left, right) => better(left, right, needed), elsewhere);
  return {
    workers: best.workers,
    elsewhereMs: best.isLocal ? undefined : step.workMs / best.speed,
  };
}

/** On time at its place, on time elsewhere, or late; the slowest and then the fullest of the first, else the soonest. */
function better(left: Choice, right: Choice, needed: number): Choice {
  const rank = ({ speed, isLocal }: Choice) => (speed < needed ? 2 : isLocal ? 0 : 1);
  const difference = rank(left) - rank(right);
  if (difference !== 0) return difference < 0 ? left : right;
  const slower = left.speed <= right.speed ? left : right;
  const faster = slower === left ? right : left;
  if (faster.speed <= slower.speed * ALIKE_FACTOR && left.isLocal === right.isLocal) {
    return left.slots <= right.slots ? left : right;
  }
  return rank(left) === 2 ? faster : slower;
}

export function hasPlace({ rackSensitive, dataRack }: WaitingStep): boolean {
  return rackSensitive || dataRack !== undefined;
}

/** Whether tasks on these workers are at their place; undefined if the place does not matter, or is not known. */
export function placeOf(
  { gang, rackSensitive, dataRack }: WaitingStep,
  workers: readonly CandidateWorker[],
): Placement['place'] {
  // Tasks of other rack-sensitive steps start one by one, and where the others run is not known here.
  if (dataRack === undefined && !(gang && rackSensitive)) return undefined;
  const place = dataRack ?? workers[0]?.rack;
  return workers.every(({ rack }) => rack === place) ? 'local' : 'remote';
}

/** The workers of each single rack at which the gang would be at its place. */
export function listPlaces(
  { rackSensitive, dataRack }: WaitingStep,
  workers: readonly CandidateWorker[],
): readonly (readonly CandidateWorker[])[] {
  if (dataRack !== undefined) return [workers.filter(({ rack }) => rack === dataRack)];
  if (!rackSensitive) return [];
  const racks = new Map<string, CandidateWorker[]>();
  for (const worker of workers) {
    const rack = racks.get(worker.rack);
    if (rack === undefined) racks.set(worker.rack, [worker]);
    else rack.push(worker);
  }
  return [...racks.values()];
}
