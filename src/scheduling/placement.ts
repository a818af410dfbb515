/**
 * Placement policies choose a worker for one task. They avoid allocations while scanning the
 * candidates, because the scan runs for every decision.
 */
import { fitsWithin, type Resources, type Worker } from '../model/index.js';
import type { HealthState } from '../workers/index.js';

/** A worker as placement policies see it. */
export interface WorkerView {
  readonly worker: Worker;
  readonly free: Resources;
  /** Free task slots; 0 if the worker must not be chosen at present for any reason. */
  readonly freeSlots: number;
  readonly health: HealthState;
}

/** Chooses a worker that a task of this size fits on, or undefined if there is none. */
export type PlacementPolicy = (
  size: Resources,
  candidates: readonly WorkerView[],
  random: () => number,
) => WorkerView | undefined;

/** Random draws of `powerOfTwoChoices` before it falls back to `firstFit`. */
const RANDOM_DRAWS = 8;
/** Larger than any score from remaining processors and memory. */
const UNUSED_ACCELERATOR_PENALTY = 10;

export function fitsOn(size: Resources, view: WorkerView): boolean {
  return view.freeSlots > 0 && fitsWithin(size, view.free);
}

export const firstFit: PlacementPolicy = (size, candidates) => {
  for (const view of candidates) if (fitsOn(size, view)) return view;
  return undefined;
};

/** The worker with the least capacity remaining; keeps accelerators for tasks that need them. */
export const bestFit: PlacementPolicy = (size, candidates) =>
  lowestScoring(size, candidates, remainingAfter);

/** The less loaded of two randomly drawn workers. */
export const powerOfTwoChoices: PlacementPolicy = (size, candidates, random) => {
  let first: WorkerView | undefined;
  for (let draw = 0; draw < RANDOM_DRAWS; draw += 1) {
    const view = candidates[Math.floor(random() * candidates.length)];
    if (!view || view === first || !fitsOn(size, view)) continue;
    if (first) return loadAfter(size, view) < loadAfter(size, first) ? view : first;
    first = view;
  }
  return first ?? firstFit(size, candidates, random);
};

/** The worker with the lowest load after the task has started. */
export const leastLoaded: PlacementPolicy = (size, candidates) =>
  lowestScoring(size, candidates, loadAfter);

/** The least loaded worker of the least loaded rack, so that services spread over the racks. */
export const spreadRacks: PlacementPolicy = (size, candidates) => {
  const racks = new Map<string, { load: number; workers: number; best: WorkerView | undefined }>();
  for (const view of candidates) {
    const rack = racks.get(view.worker.rack) ?? { load: 0, workers: 0, best: undefined };
    racks.set(view.worker.rack, rack);
    rack.load += loadAfter(size, view);
    rack.workers += 1;
    if (!fitsOn(size, view)) continue;
    if (!rack.best || loadAfter(size, view) < loadAfter(size, rack.best)) rack.best = view;
  }
  let chosen: WorkerView | undefined;
  let lowestLoad = Infinity;
  for (const { load, workers, best } of racks.values()) {
    if (!best || load / workers >= lowestLoad) continue;
    lowestLoad = load / workers;
    chosen = best;
  }
  return chosen;
};

function lowestScoring(
  size: Resources,
  candidates: readonly WorkerView[],
  score: (size: Resources, view: WorkerView) => number,
): WorkerView | undefined {
  let best: WorkerView | undefined;
  let bestScore = Infinity;
  for (const view of candidates) {
    if (!fitsOn(size, view)) continue;
    const viewScore = score(size, view);
    if (viewScore >= bestScore) continue;
    bestScore = viewScore;
    best = view;
  }
  return best;
}

function loadAfter(size: Resources, { worker, free, freeSlots }: WorkerView): number {
  const { capacity, slots } = worker;
  return Math.max(
    loadFraction(size.processors, free.processors, capacity.processors),
    loadFraction(size.memoryMb, free.memoryMb, capacity.memoryMb),
    loadFraction(size.accelerators, free.accelerators, capacity.accelerators),
    loadFraction(1, freeSlots, slots),
  );
}

function loadFraction(wanted: number, free: number, capacity: number): number {
  return capacity > 0 ? (capacity - free + wanted) / capacity : 0;
}

function remainingAfter(size: Resources, { worker, free }: WorkerView): number {
  const { capacity } = worker;
  const unused = size.accelerators === 0 && capacity.accelerators > 0;
  return (
    remainingFraction(size.processors, free.processors, capacity.processors) +
    remainingFraction(size.memoryMb, free.memoryMb, capacity.memoryMb) +
    remainingFraction(size.accelerators, free.accelerators, capacity.accelerators) +
    (unused ? UNUSED_ACCELERATOR_PENALTY : 0)
  );
}

function remainingFraction(wanted: number, free: number, capacity: number): number {
  return capacity > 0 ? (free - wanted) / capacity : 0;
}
