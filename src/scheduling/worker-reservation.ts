/**
 * Reserves one worker for a large request that has waited too long. Without this, small requests
 * take all freed capacity before the large one fits, and it starves. Only one worker is reserved at
 * a time, to limit the capacity that stays unused.
 */
import type { Pool, WorkerSlot } from './pool.js';
import type { QueuedTask } from './queue.js';

export interface WorkerReservation {
  /** Reserves a worker for the task if the task is old enough and no worker is reserved. */
  reserveFor(item: QueuedTask): void;
  /** The task and its reserved worker once the task fits there. */
  ready(): { readonly item: QueuedTask; readonly slot: WorkerSlot } | undefined;
  /** Releases the reserved worker. */
  end(): void;
}

export interface WorkerReservationOptions {
  readonly now: () => number;
  readonly pool: Pool;
  readonly agingMs: number;
  /** Whether the team has any allotment left. */
  readonly mayStart: (team: string) => boolean;
}

/** Limits the searches, because each one reads every task of every worker. */
const SEARCH_INTERVAL_MS = 1_000;

export function createWorkerReservation(options: WorkerReservationOptions): WorkerReservation {
  const { now, pool, agingMs, mayStart } = options;
  let reserved: { item: QueuedTask; slot: WorkerSlot } | undefined;
  let searchedAt = -Infinity;

  function end() {
    if (reserved) pool.setReserved(reserved.slot, false);
    reserved = undefined;
  }

  function reserveFor(item: QueuedTask) {
    const { request } = item;
    if (reserved || now() - request.submittedAt < agingMs || !mayStart(request.team)) return;
    if (now() - searchedAt < SEARCH_INTERVAL_MS) return;
    searchedAt = now();
    const slot = pool.findReservable(request.size);
    if (!slot) return;
    reserved = { item, slot };
    pool.setReserved(slot, true);
  }

  function ready() {
    if (!reserved) return undefined;
    const { item, slot } = reserved;
    const stale = !item.queue || pool.slot(slot.worker.id) !== slot || slot.health !== 'healthy';
    if (stale || !mayStart(item.request.team)) {
      end();
      return undefined;
    }
    return pool.fitsReserved(slot, item.request.size) ? { item, slot } : undefined;
  }

  return { reserveFor, ready, end };
}
