/**
 * The scheduler of one entry host: it queues requests, decides which of them starts next and on
 * which of the host's workers, and charges the worker's ledger and the team's allotment with it.
 */
import { err, ok, type Result } from 'neverthrow';
import {
  dominantShare,
  refuse,
  taskIdOf,
  type Refused,
  type Resources,
  type TaskId,
  type Team,
  type WorkClass,
  type Worker,
  type WorkRequest,
} from '../model/index.js';
import type { LoadSummary } from '../hosts/index.js';
import type { Health, Ledger, RunningTask } from '../workers/index.js';
import { createHold } from './hold.js';
import { summarize } from './load.js';
import { neverFits } from './never-fits.js';
import { weightedDominantShare, type Order } from './order.js';
import { bestFit, leastLoaded, spreadRacks, type Placement } from './placement.js';
import { createPool, type Slot } from './pool.js';
import { createQueues, type Item, type ItemQueue } from './queue.js';
import { createShapes } from './shapes.js';
import { listQueued } from './queued-work.js';
import { createUrgency } from './urgency.js';
import { createUsage } from './usage.js';

/** A task that may start now; its worker and its team's allotment are charged. */
export interface Decision {
  readonly request: WorkRequest;
  /** Index of the task within its request. */
  readonly index: number;
  readonly task: TaskId;
  /** Id of the worker. */
  readonly worker: string;
  /** What the ledger holds for the task, for the start message. */
  readonly charged: RunningTask;
}

export interface Scheduler {
  /** Refuses work that fits no worker and work beyond the queue bounds. */
  enqueue(request: WorkRequest, options?: { task?: number }): Result<void, Refused>;
  /** Removes a queued request in constant time; false if it is not queued. */
  cancel(team: string, id: string): boolean;
  next(): Decision | undefined;
  /** Call only once the task has certainly ended, else its worker is overcommitted. */
  finished(task: TaskId, worker: string): void;
  /** Removes and returns requests whose latest start has passed. */
  expire(): readonly WorkRequest[];
  setLedgers(ledgers: readonly Ledger[]): void;
  /** Removes and returns all queued requests. */
  drain(): readonly WorkRequest[];
  /** The queued gang that is served next; its tasks are placed with `reserve`. */
  waitingGang(): WorkRequest | undefined;
  /**
   * Charges ledgers and allotments for up to `count` tasks of a request that another host
   * coordinates, numbered from `firstTask`. Each decision is ended with `finished`.
   */
  reserve(request: WorkRequest, count: number, firstTask?: number): readonly Decision[];
  load(): LoadSummary;
  /** Queued requests by catalogue entry. */
  queued(): readonly QueuedWork[];
}

/** Queued requests of one team and catalogue entry. */
export interface QueuedWork {
  readonly team: string;
  readonly entry: string;
  readonly class: WorkClass;
  readonly queued: number;
  readonly oldestWaitMs: number;
}

export interface SchedulerOptions {
  readonly now: () => number;
  readonly random: () => number;
  readonly health: Health;
  /** Owner (host and boot id) that new tasks are charged to. */
  readonly owner: string;
  /** Epoch of this host's claim of a worker. */
  readonly epoch: (worker: string) => number;
  readonly team: (name: string) => Team | undefined;
  /** Use of a team on other hosts, from heartbeats. */
  readonly fleetUse: (team: string) => Resources;
  /** Capacity that the shares refer to. */
  readonly cell: () => Resources;
  readonly acquire: (team: string) => boolean;
  readonly release: (team: string, chargedTo: string) => void;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
  /** Teams that `load` names besides those with running or queued tasks. */
  readonly teamNames?: () => Iterable<string>;
  /** Most queued requests of one entry. */
  readonly maxQueued: (entry: string) => number;
  /** Most queued requests of one team in one class. */
  readonly maxQueuedPerTeam?: number;
  /** Workers that a request may run on anywhere; by default those of this host. */
  readonly workers?: () => readonly Worker[];
  readonly placements?: Partial<Record<WorkClass, Placement>>;
  readonly order?: Order;
  /** `merged` gives the order the queues of all classes at once. */
  readonly classes?: 'urgent-first' | 'merged';
  readonly urgentShare?: number;
  readonly agingMs?: number;
  /** Requests of one queue that are looked at per decision. */
  readonly lookAhead?: number;
}

const DEFAULT_PLACEMENTS: Record<WorkClass, Placement> = {
  interactive: leastLoaded,
  batch: bestFit,
  gang: bestFit,
  service: spreadRacks,
};
const DEFAULT_URGENT_SHARE = 0.9;
const DEFAULT_AGING_MS = 60_000;
const DEFAULT_LOOK_AHEAD = 16;
const DEFAULT_MAX_QUEUED_PER_TEAM = 10_000;
const QUEUE_FULL_RETRY_MS = 1_000;
const URGENT: readonly WorkClass[] = ['interactive'];
const DEFERRABLE: readonly WorkClass[] = ['batch', 'service'];
const MERGED: readonly WorkClass[] = ['interactive', 'batch', 'service'];

export function createScheduler(options: SchedulerOptions): Scheduler {
  const { now, owner, agingMs = DEFAULT_AGING_MS, lookAhead = DEFAULT_LOOK_AHEAD } = options;
  const order = options.order ?? weightedDominantShare;
  const placements = { ...DEFAULT_PLACEMENTS, ...options.placements };
  const usage = createUsage();
  const shapes = createShapes();
  const queues = createQueues();
  const pool = createPool({ ...options, shapes, usage });
  const mayStart = (team: string) => options.spare(team) > 0;
  const hold = createHold({ now, pool, agingMs, mayStart });
  const urgency = createUrgency(options.urgentShare ?? DEFAULT_URGENT_SHARE);
  const expired: WorkRequest[] = [];
  const lost = new Map<string, RunningTask>();
  const candidates: ItemQueue[] = [];

  function remove(item: Item) {
    queues.remove(item);
    shapes.drop(item.shape);
  }

  function enqueue(request: WorkRequest, { task = 0 }: { task?: number } = {}) {
    if (neverFits(request, options.workers?.() ?? pool.workers())) {
      return err(refuse('never-fits', `Declare a smaller size for ${request.entry}.`));
    }
    const limit = options.maxQueuedPerTeam ?? DEFAULT_MAX_QUEUED_PER_TEAM;
    const full =
      queues.queuedOfEntry(request.entry) >= options.maxQueued(request.entry) ||
      queues.queuedOfTeam(request.class, request.team) >= limit;
    if (full) {
      const detail = `Send ${request.entry} again later; its queue is full.`;
      return err(refuse('queue-full', detail, QUEUE_FULL_RETRY_MS));
    }
    const links = { queue: undefined, previous: undefined, next: undefined, sibling: undefined };
    queues.add({ request, index: task, shape: shapes.hold(request.size), ...links });
    return ok(undefined);
  }

  function cancel(team: string, id: string): boolean {
    const items = queues.find(team, id);
    items.forEach(remove);
    return items.length > 0;
  }

  function charge(request: WorkRequest, index: number, slot: Slot): Decision | undefined {
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
  function findSlot(request: WorkRequest, shape: { readonly blocked: boolean }): Slot | undefined {
    const mayTry = request.idempotent && request.class !== 'service';
    const trial = mayTry && pool.hasTrial() ? pool.trialFor(request.size) : undefined;
    if (trial) return trial;
    return shape.blocked ? undefined : pool.place(request.size, placements[request.class]);
  }

  function mayFit(item: Item): boolean {
    return !item.shape.blocked || pool.hasTrial();
  }

  function dropExpiredHead(queue: ItemQueue) {
    for (let item = queue.first; item && item.request.startBefore < now(); item = queue.first) {
      remove(item);
      expired.push(item.request);
    }
  }

  function tryItem(item: Item): Decision | undefined {
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
  function tryQueue(queue: ItemQueue): Decision | undefined {
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

  function hasCandidate(queue: ItemQueue): boolean {
    let item = queue.first;
    for (let looked = 0; item && looked < lookAhead; looked += 1, item = item.next) {
      if (mayFit(item)) return true;
    }
    return false;
  }

  function refreshShare(queue: ItemQueue, cell: Resources) {
    const here = usage.of(queue.team).used;
    const elsewhere = options.fleetUse(queue.team);
    queue.share = options.team(queue.team)?.share ?? 1;
    queue.dominant = dominantShare(
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
      if (workClass !== 'interactive' && queue.first.shape.blocked) hold.consider(queue.first);
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
      const queue = order(candidates) as ItemQueue | undefined;
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

  function finished(task: TaskId, worker: string) {
    const slot = pool.slot(worker);
    const running = slot?.ledger.task(task);
    if (slot && running) {
      if (slot.trial === task) slot.trial = undefined;
      slot.ledger.release(task);
      options.release(running.team, running.chargedTo);
    }
    const gone = lost.get(lostKey(task, worker));
    if (!gone) return;
    lost.delete(lostKey(task, worker));
    options.release(gone.team, gone.chargedTo);
  }

  function setLedgers(ledgers: readonly Ledger[]) {
    for (const { worker, task } of pool.setLedgers(ledgers)) {
      lost.set(lostKey(task.id, worker), task);
    }
  }

  function reserveOne(request: WorkRequest, index: number): Decision | undefined {
    if (!options.acquire(request.team)) return undefined;
    const slot = pool.place(request.size, placements[request.class]);
    const decision = slot && charge(request, index, slot);
    if (!decision) options.release(request.team, owner);
    return decision;
  }

  function reserve(request: WorkRequest, count: number, firstTask = 0): readonly Decision[] {
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
    return (order(gangs) as ItemQueue | undefined)?.first?.request;
  }

  function takeAll(items: readonly Item[]): readonly WorkRequest[] {
    for (const { shape } of items) shapes.drop(shape);
    return [...new Set(items.map(({ request }) => request))];
  }

  return {
    enqueue,
    cancel,
    next,
    finished,
    expire: () => [...expired.splice(0), ...takeAll(queues.takeExpired(now()))],
    setLedgers,
    drain: () => [...expired.splice(0), ...takeAll(queues.takeAll())],
    waitingGang,
    reserve,
    queued: () => listQueued(queues, now()),
    load: () => summarize({ ...options, pool, queues, usage }),
  };
}

function lostKey(task: TaskId, worker: string): string {
  return `${worker} ${task}`;
}
