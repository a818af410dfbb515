/**
 * Selects the task that starts next and its worker, and charges ledger and allotment with it.
 */
import {
  dominantShare,
  taskIdOf,
  type Resources,
  type WorkClass,
  type WorkRequest,
} from '../model/index.js';
import { createWorkerReservation } from './worker-reservation.js';
import type { Decision, SchedulerOptions } from './options.js';
import { weightedDominantShare } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type PlacementPolicy } from './placement.js';
import type { Pool, WorkerSlot } from './pool.js';
import type { QueuedTask, TaskQueue, Queues } from './queue.js';
import type { Shapes } from './shapes.js';
import { createClassArbiter } from './class-arbiter.js';
import type { Usage } from './usage.js';

const DEFAULT_PLACEMENTS: Record<WorkClass, PlacementPolicy> = {
  interactive: leastLoaded,
  batch: bestFit,
  gang: bestFit,
  service: spreadRacks,
};
const DEFAULT_URGENT_SHARE = 0.9;
const DEFAULT_AGING_MS = 60_000;
const DEFAULT_LOOK_AHEAD = 16;
const URGENT: readonly WorkClass[] = ['interactive'];
const DEFERRABLE: readonly WorkClass[] = ['batch', 'service'];
const MERGED: readonly WorkClass[] = ['interactive', 'batch', 'service'];

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
  /** Takes an item out of its queue whose latest start has passed. */
  readonly expire: (item: QueuedTask) => void;
}

export function createSelector(options: SelectorOptions): Selector {
  const { now, owner, queues, shapes, pool, usage, remove } = options;
  const { agingMs = DEFAULT_AGING_MS, lookAhead = DEFAULT_LOOK_AHEAD } = options;
  const order = options.order ?? weightedDominantShare;
  const placements = { ...DEFAULT_PLACEMENTS, ...options.placements };
  const mayStart = (team: string) => options.spare(team) > 0;
  const hold = createWorkerReservation({ now, pool, agingMs, mayStart });
  const urgency = createClassArbiter(options.urgentShare ?? DEFAULT_URGENT_SHARE);
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

  /** Only work that may be repeated and ends by itself is put at risk on a worker in trial. */
  function findSlot(
    request: WorkRequest,
    shape: { readonly blocked: boolean },
  ): WorkerSlot | undefined {
    const mayTry = request.idempotent && request.class !== 'service';
    const trial = mayTry && pool.hasTrial() ? pool.trialFor(request.size) : undefined;
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

  /** The allotment is acquired before the search, so that a team without one costs no scan. */
  function tryQueue(queue: TaskQueue): Decision | undefined {
    let acquired = false;
    let item = queue.first;
    for (let looked = 0; item && looked < lookAhead; looked += 1, item = item.next) {
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
    for (let looked = 0; item && looked < lookAhead; looked += 1, item = item.next) {
      if (mayFit(item)) return true;
    }
    return false;
  }

  function refreshShare(queue: TaskQueue, cell: Resources) {
    const here = usage.of(queue.team).used;
    const elsewhere = options.remoteUsage(queue.team);
    queue.share = options.team(queue.team)?.share ?? 1;
    queue.dominantShare = dominantShare(
      {
        processors: here.processors + elsewhere.processors,
        memoryMb: here.memoryMb + elsewhere.memoryMb,
        accelerators: here.accelerators + elsewhere.accelerators,
      },
      cell,
    );
  }

  function collect(workClass: WorkClass, cell: Resources) {
    for (const queue of queues.active(workClass)) {
      dropExpiredHead(queue);
      if (!queue.first) continue;
      if (workClass !== 'interactive' && queue.first.shape.blocked) hold.reserveFor(queue.first);
      if (!hasCandidate(queue)) continue;
      refreshShare(queue, cell);
      candidates.push(queue);
    }
  }

  function tryClasses(classes: readonly WorkClass[]): Decision | undefined {
    candidates.length = 0;
    const cell = options.cell();
    for (const workClass of classes) collect(workClass, cell);
    while (candidates.length > 0) {
      const queue = order(candidates) as TaskQueue | undefined;
      if (!queue) return undefined;
      const decision = tryQueue(queue);
      if (decision) return decision;
      candidates.splice(candidates.indexOf(queue), 1);
    }
    return undefined;
  }

  function tryHeld(): Decision | undefined {
    const ready = hold.ready();
    if (!ready) return undefined;
    const { item, slot } = ready;
    if (item.request.startBefore < now() || !options.acquire(item.request.team)) {
      hold.end();
      return undefined;
    }
    const decision = charge(item.request, item.index, slot);
    if (decision) remove(item);
    else options.release(item.request.team, owner);
    hold.end();
    return decision;
  }

  function oldestDeferrable(): number {
    let oldest = Infinity;
    for (const workClass of DEFERRABLE) {
      for (const queue of queues.active(workClass)) oldest = Math.min(oldest, queue.oldest);
    }
    return oldest;
  }

  function next(): Decision | undefined {
    pool.refreshHealth();
    const held = tryHeld();
    if (held) return held;
    if (options.classes === 'merged') return tryClasses(MERGED);
    const urgentWaits = queues.queued('interactive') > 0;
    const oldest = oldestDeferrable();
    if (!urgentWaits) return tryClasses(DEFERRABLE);
    if (oldest === Infinity) return tryClasses(URGENT);
    const urgentFirst = urgency.urgentFirst();
    const decision = urgentFirst
      ? (tryClasses(URGENT) ?? tryClasses(DEFERRABLE))
      : (tryClasses(DEFERRABLE) ?? tryClasses(URGENT));
    if (decision) urgency.started(decision.request.class, now() - oldest > agingMs);
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
    const cell = options.cell();
    const gangs = [...queues.active('gang')];
    for (const queue of gangs) refreshShare(queue, cell);
    return (order(gangs) as TaskQueue | undefined)?.first?.request;
  }

  return { next, waitingGang, reserve };
}
