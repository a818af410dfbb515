/**
 * Detects requests that cannot run even on empty workers.
 */
import type { Resources, Worker, WorkRequest } from '../model/index.js';

/** Absorbs rounding errors when a capacity is a multiple of a fractional size. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Whether the tasks of the request would not fit at the same time even if all workers were empty.
 * False if no workers are known, because the request may fit once they are.
 */
export function neverFits(
  request: Pick<WorkRequest, 'size' | 'tasks'>,
  workers: readonly Worker[],
): boolean {
  if (workers.length === 0) return false;
  let fitting = 0;
  for (const worker of workers) {
    fitting += tasksThatFit(request.size, worker);
    if (fitting >= request.tasks) return false;
  }
  return true;
}

function tasksThatFit(size: Resources, { capacity, slots, connections }: Worker): number {
  return Math.min(
    slots,
    connections,
    multiples(size.processors, capacity.processors),
    multiples(size.memoryMb, capacity.memoryMb),
    multiples(size.accelerators, capacity.accelerators),
  );
}

function multiples(size: number, capacity: number): number {
  return size > 0 ? Math.floor(capacity / size + ROUNDING_TOLERANCE) : Infinity;
}
