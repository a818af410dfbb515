/**
 * Selects the task that starts next and its worker, and charges the ledger and the allotment.
 */
import {
  dominantShare,
  taskIdOf,
  type Resources,
  type WorkClass,
  type WorkRequest,
} from '../model/index.js';
import { createClassArbiter } from './class-arbiter.js';
import type { Decision, SchedulerOptions } from './options.js';
import { weightedDominantShare } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type PlacementPolicy } from './placement.js';
import type { Pool, WorkerSlot } from './pool.js';
import type { QueuedTask, TaskQueue, Queues } from './queue.js';
import type { Shapes } from './shapes.js';
import type { Usage } from './usage.js';
import { createWorkerReservation } from './worker-reservation.js';

const DEFAULT_PLACEMENTS: Record<WorkClass, PlacementPolicy> = {
  interactive: leastLoaded,
  batch: bestFit,
  gang: bestFit,
  service: spreadRacks,
};
const DEFAULT_URGENT_SHARE = 0.9;
const DEFAULT_AGING_MS = 60_000;
const DEFAULT_LOOK_AHEAD = 16;
const URGENT_CLASSES: readonly WorkClass[] = ['interactive'];
const DEFERRABLE_CLASSES: readonly WorkClass[] = ['batch', 'service'];
const MERGED_CLASSES: readonly WorkClass[] = ['interactive', 'batch', 'service'];

export interface Selector {
  next(): Decision | undefined;
  waitingGang(): WorkRequest | undefined;
  reserve(request: WorkRequest, count: number, firstTask: number): readonly Decision[];
}

export interface SelectorOptions extends SchedulerOptions {
  readonly queues: Queues;
  readonly shapes: Shapes;
  readonly pool: Pool;
  readonly usage: Usage;
  readonly remove: (item: QueuedTask) => void;
  /** Removes a task whose latest start has passed from its queue. */
  readonly expire: (item: QueuedTask) => void;
}

export function createSelector(options: SelectorOptions): Selector {
  const { now, owner, queues, shapes, pool, usage, remove } = options;
  const { agingMs = DEFAULT_AGING_MS, lookAhead = DEFAULT_LOOK_AHEAD } = options;
  const order = options.order ?? weightedDominantShare;
  const placements = { ...DEFAULT_PLACEMENTS, ...options.placements };
  const mayStart = (team: string) => options.spare(team) > 0;
  const reservation = createWorkerReservation({ now, pool, agingMs, mayStart });
  const classArbiter = createClassArbiter(options.urgentShare ?? DEFAULT_URGENT_SHARE);
  const candidates: TaskQueue[] = [];

  function charge(request: WorkRequest, index: number, slot: WorkerSlot): Decision | undefined {
    const { team, entry, size } = request;
    const id = taskIdOf(request, index);
    const worker = slot.worker.id;
    const epoch = options.epoch(worker);
    const charged = { id, team, entry, class: request.class, size, chargedTo: owner, epoch };
    if (!slot.ledger.charge(charged)) return undefined;
    if (slot.health === 'trial') slot.trial = id;
    return { request, index, task: id, worker, charged };
  }

  /** Only idempotent work that ends by itself may be placed on a worker in trial. */
  function findSlot(
    request: WorkRequest,
    shape: { readonly blocked: boolean },
  ): WorkerSlot | undefined {
    const trialAllowed = request.idempotent && request.class !== 'service';
    const trial = trialAllowed && pool.hasTrial() ? pool.trialFor(request.size) : undefined;
    if (trial) return trial;
    return shape.blocked ? undefined : pool.place(request.size, placements[request.class]);
  }

  function mayFit(item: QueuedTask): boolean {
    return !item.shape.blocked || pool.hasTrial();
  }

  function dropExpiredHead(queue: TaskQueue) {
    for (let item = queue.first; item && item.request.startBefore < now(); item = queue.first) {
      options.expire(item);
    }
  }

  function tryItem(item: QueuedTask): Decision | undefined {
    const slot = findSlot(item.request, item.shape);
    if (!slot) {
      shapes.block(item.shape);
      return undefined;
    }
    const decision = charge(item.request, item.index, slot);
    if (decision) remove(item);
    return decision;
  }

  /** Acquires the allotment before the search, so that a team without one causes no scan. */
  function tryQueue(queue: TaskQueue): Decision | undefined {
    let acquired = false;
    let item = queue.first;
    for (let examined = 0; item && examined < lookAhead; examined += 1, item = item.next) {
      if (!mayFit(item) || item.request.startBefore < now()) continue;
      acquired ||= options.acquire(queue.team);
      if (!acquired) return undefined;
      const decision = tryItem(item);
      if (decision) return decision;
    }
    if (acquired) options.release(queue.team, owner);
    return undefined;
  }

  function hasCandidate(queue: TaskQueue): boolean {
    let item = queue.first;
    for (let examined = 0; item && examined < lookAhead; examined += 1, item = item.next) {
      if (mayFit(item)) return true;
    }
    return false;
  }

  function refreshShare(queue: TaskQueue, capacity: Resources) {
    const local = usage.of(queue.team).used;
    const remote = options.remoteUsage(queue.team);
    queue.share = options.team(queue.team)?.share ?? 1;
    queue.dominantShare = dominantShare(
      {
        processors: local.processors + remote.processors,
        memoryMb: local.memoryMb + remote.memoryMb,
        accelerators: local.accelerators + remote.accelerators,
      },
      capacity,
    );
  }

  function collectCandidates(workClass: WorkClass, capacity: Resources) {
    for (const queue of queues.active(workClass)) {
      dropExpiredHead(queue);
      if (!queue.first) continue;
      if (workClass !== 'interactive' && queue.first.shape.blocked)
        reservation.reserveFor(queue.first);
      if (!hasCandidate(queue)) continue;
      refreshShare(queue, capacity);
      candidates.push(queue);
    }
  }

  function tryClasses(classes: readonly WorkClass[]): Decision | undefined {
    candidates.length = 0;
    const capacity = options.cell();
    for (const workClass of classes) collectCandidates(workClass, capacity);
    while (candidates.length > 0) {
      const queue = order(candidates) as TaskQueue | undefined;
      if (!queue) return undefined;
      const decision = tryQueue(queue);
      if (decision) return decision;
      candidates.splice(candidates.indexOf(queue), 1);
    }
    return undefined;
  }

  function tryReserved(): Decision | undefined {
    const ready = reservation.ready();
    if (!ready) return undefined;
    const { item, slot } = ready;
    if (item.request.startBefore < now() || !options.acquire(item.request.team)) {
      reservation.end();
      return undefined;
    }
    const decision = charge(item.request, item.index, slot);
    if (decision) remove(item);
    else options.release(item.request.team, owner);
    reservation.end();
    return decision;
  }

  function oldestDeferrable(): number {
    let oldest = Infinity;
    for (const workClass of DEFERRABLE_CLASSES) {
      for (const queue of queues.active(workClass)) oldest = Math.min(oldest, queue.oldest);
    }
    return oldest;
  }

  function next(): Decision | undefined {
    pool.refreshHealth();
    const reserved = tryReserved();
    if (reserved) return reserved;
    if (options.classes === 'merged') return tryClasses(MERGED_CLASSES);
    const urgentWaits = queues.queued('interactive') > 0;
    const oldest = oldestDeferrable();
    if (!urgentWaits) return tryClasses(DEFERRABLE_CLASSES);
    if (oldest === Infinity) return tryClasses(URGENT_CLASSES);
    const urgentFirst = classArbiter.urgentFirst();
    const decision = urgentFirst
      ? (tryClasses(URGENT_CLASSES) ?? tryClasses(DEFERRABLE_CLASSES))
      : (tryClasses(DEFERRABLE_CLASSES) ?? tryClasses(URGENT_CLASSES));
    if (decision) classArbiter.started(decision.request.class, now() - oldest > agingMs);
    return decision;
  }

  function reserveOne(request: WorkRequest, index: number): Decision | undefined {
    if (!options.acquire(request.team)) return undefined;
    const slot = pool.place(request.size, placements[request.class]);
    const decision = slot && charge(request, index, slot);
    if (!decision) options.release(request.team, owner);
    return decision;
  }

  function reserve(request: WorkRequest, count: number, firstTask: number): readonly Decision[] {
    const decisions: Decision[] = [];
    pool.refreshHealth();
    for (let index = firstTask; index < firstTask + count; index += 1) {
      const decision = reserveOne(request, index);
      if (!decision) break;
      decisions.push(decision);
    }
    return decisions;
  }

  function waitingGang(): WorkRequest | undefined {
    const capacity = options.cell();
    const gangs = [...queues.active('gang')];
    for (const queue of gangs) refreshShare(queue, capacity);
    return (order(gangs) as TaskQueue | undefined)?.first?.request;
  }

  return { next, waitingGang, reserve };
}
