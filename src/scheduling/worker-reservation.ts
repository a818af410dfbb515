/**
 * Keeps one worker free for a large request that has waited too long. Without this, small requests
 * take every gap before the large one fits, and it never starts. One worker at a time bounds the
 * capacity that lies unused meanwhile.
 */
import type { Pool, WorkerSlot } from './pool.js';
import type { QueuedTask } from './queue.js';

export interface WorkerReservation {
  /** Starts to keep a worker free for the item if it is old enough and none is held. */
  reserveFor(item: QueuedTask): void;
  /** The item and its worker once the item fits there. */
  ready(): { readonly item: QueuedTask; readonly slot: WorkerSlot } | undefined;
  /** Gives up the worker that is held. */
  end(): void;
}

export interface WorkerReservationOptions {
  readonly now: () => number;
  readonly pool: Pool;
  readonly agingMs: number;
  /** Whether the team has any allotment left. */
  readonly mayStart: (team: string) => boolean;
}

/** The search looks at every task of every worker. */
const SEARCH_INTERVAL_MS = 1_000;

export function createWorkerReservation(options: WorkerReservationOptions): WorkerReservation {
  const { now, pool, agingMs, mayStart } = options;
  let held: { item: QueuedTask; slot: WorkerSlot } | undefined;
  let searchedAt = -Infinity;

  function end() {
    if (held) pool.setReserved(held.slot, false);
    held = undefined;
  }

  function reserveFor(item: QueuedTask) {
    const { request } = item;
    if (held || now() - request.submittedAt < agingMs || !mayStart(request.team)) return;
    if (now() - searchedAt < SEARCH_INTERVAL_MS) return;
    searchedAt = now();
    const slot = pool.findReservable(request.size);
    if (!slot) return;
    held = { item, slot };
    pool.setReserved(slot, true);
  }

  function ready() {
    if (!held) return undefined;
    const { item, slot } = held;
    const stale = !item.queue || pool.slot(slot.worker.id) !== slot || slot.health !== 'healthy';
    if (stale || !mayStart(item.request.team)) {
      end();
      return undefined;
    }
    return pool.fitsReserved(slot, item.request.size) ? { item, slot } : undefined;
  }

  return { reserveFor, ready, end };
}
