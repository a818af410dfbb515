/**
 * Forecast of when workers have room, from the expected ends of what runs on them. Room that was promised in this round
 * to work that waits for it is not promised again.
 */
import { addResources, addTasks, NO_RESOURCES, subtractResources } from '../model/index.js';
import type { Resources } from '../model/index.js';
import type { CandidateWorker, Release, WaitingStep } from './candidates.js';
import { couldHold, isAllowed, slotsFreeFor, withoutFailed } from './pool.js';

/** Room that is expected to become free. */
export interface Opening {
  readonly startMs: number;
  readonly runMs: number;
  /** What the work would take of each worker. */
  readonly claims: ReadonlyMap<string, Resources>;
}

export interface RoomForecast {
  /** Lists room on which single tasks of the step end until `latestEndMs`, the soonest end first. */
  listForTasks(
    step: WaitingStep,
    workers: readonly CandidateWorker[],
    latestEndMs: number,
  ): readonly Opening[];
  /** Finds the rack on which the gang ends soonest. */
  findForGang(
    step: WaitingStep,
    racks: readonly (readonly CandidateWorker[])[],
    horizonMs: number,
  ): Opening | undefined;
  /** Promises room on workers. */
  claim(claims: ReadonlyMap<string, Resources>): void;
}

export function createRoomForecast(nowMs: number): RoomForecast {
  const releases = new Map<string, readonly Release[]>();
  const claimed = new Map<string, Resources>();

  function releasesOf(worker: CandidateWorker): readonly Release[] {
    const known = releases.get(worker.id) ?? worker.releases();
    releases.set(worker.id, known);
    return known;
  }

  function roomOf({ id, free }: CandidateWorker): Resources {
    return subtractResources(free, claimed.get(id) ?? NO_RESOURCES);
  }

  /** Lists the times at which the worker has room for one more task of the step. */
  function startsOn(step: WaitingStep, worker: CandidateWorker, horizonMs: number): number[] {
    let room = roomOf(worker);
    const starts: number[] = [];
    const update = (atMs: number) => {
      const slots = Math.min(step.waiting, slotsFreeFor(step, { ...worker, free: room }));
      while (starts.length < slots) starts.push(Math.max(nowMs, atMs));
    };
    update(nowMs);
    for (const { atMs, size } of releasesOf(worker)) {
      if (atMs > horizonMs || starts.length >= step.waiting) break;
      room = addResources(room, size);
      update(atMs);
    }
    return starts;
  }

  /** Finds when a rack has room for the whole gang. */
  function openingOnRack(
    step: WaitingStep,
    rack: readonly CandidateWorker[],
    horizonMs: number,
  ): Opening | undefined {
    const rooms = new Map(rack.map((worker) => [worker, roomOf(worker)]));
    const slots = new Map<CandidateWorker, number>();
    let total = 0;
    const update = (worker: CandidateWorker, free: Resources) => {
      const now = Math.min(step.waiting, slotsFreeFor(step, { ...worker, free }));
      total += now - (slots.get(worker) ?? 0);
      slots.set(worker, now);
    };
    for (const [worker, room] of rooms) update(worker, room);
    let startMs = nowMs;
    for (const { worker, release } of inOrder(rack, horizonMs)) {
      if (total >= step.waiting) break;
      const room = addResources(rooms.get(worker) ?? NO_RESOURCES, release.size);
      rooms.set(worker, room);
      startMs = Math.max(nowMs, release.atMs);
      update(worker, room);
    }
    return total >= step.waiting ? toOpening(step, startMs, slots) : undefined;
  }

  function inOrder(rack: readonly CandidateWorker[], horizonMs: number) {
    return rack
      .flatMap((worker) => releasesOf(worker).map((release) => ({ worker, release })))
      .filter(({ release }) => release.atMs <= horizonMs)
      .sort((left, right) => left.release.atMs - right.release.atMs);
  }

  return {
    listForTasks: (step, workers, latestEndMs) =>
      workers
        .filter((worker) => isTakeable(step, worker))
        .flatMap((worker) => {
          const runMs = step.workMs / worker.speed;
          const claims = new Map([[worker.id, step.size]]);
          return startsOn(step, worker, latestEndMs - runMs).map((startMs) => ({
            startMs,
            runMs,
            claims,
          }));
        })
        .sort((left, right) => left.startMs + left.runMs - right.startMs - right.runMs),
    findForGang: (step, racks, horizonMs) => {
      let best: Opening | undefined;
      for (const rack of racks) {
        const usable = withoutFailed(step, rack).filter((worker) => isTakeable(step, worker));
        if (!couldHold(step, usable)) continue;
        best = sooner(best, openingOnRack(step, usable, horizonMs));
      }
      return best;
    },
    claim: (claims) => {
      for (const [id, size] of claims) {
        claimed.set(id, addResources(claimed.get(id) ?? NO_RESOURCES, size));
      }
    },
  };
}

function isTakeable(step: WaitingStep, worker: CandidateWorker): boolean {
  // A placement leaves out cold workers while others have room, so their room is not worth a wait.
  if (worker.healthStatus !== 'trusted' || worker.cold === true) return false;
  return isAllowed(step, worker, new Map());
}

function sooner(left: Opening | undefined, right: Opening | undefined): Opening | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return right.startMs + right.runMs < left.startMs + left.runMs ? right : left;
}

/** The gang takes as long as on the slowest of the workers that it needs, the fastest of which it takes first. */
function toOpening(
  step: WaitingStep,
  startMs: number,
  slots: ReadonlyMap<CandidateWorker, number>,
): Opening {
  const claims = new Map<string, Resources>();
  let missing = step.waiting;
  let slowest = Infinity;
  for (const [{ id, speed }, count] of [...slots].sort(([a], [b]) => b.speed - a.speed)) {
    const taken = Math.min(missing, count);
    if (taken === 0) continue;
    missing -= taken;
    slowest = speed;
    claims.set(id, addTasks(NO_RESOURCES, step.size, taken));
  }
  return { startMs, runMs: step.workMs / slowest, claims };
}
