/**
 * The scheduler of one entry host. It queues requests, selects the task that starts next and its
 * worker, and charges the worker's ledger and the team's allotment.
 */
import { err, ok } from 'neverthrow';
import { refuse, type TaskId, type WorkRequest } from '../model/index.js';
import type { Ledger, RunningTask } from '../workers/index.js';
import { listBacklogs } from './entry-backlog.js';
import { summarizeLoad } from './load.js';
import { neverFits } from './never-fits.js';
import type { Scheduler, SchedulerOptions } from './options.js';
import { createPool } from './pool.js';
import { createQueues, type QueuedTask } from './queue.js';
import { createSelector } from './selector.js';
import { createShapes } from './shapes.js';
import { createUsage } from './usage.js';

const DEFAULT_MAX_QUEUED_PER_TEAM = 10_000;
const QUEUE_FULL_RETRY_MS = 1_000;

export function createScheduler(options: SchedulerOptions): Scheduler {
  const { now } = options;
  const usage = createUsage();
  const shapes = createShapes();
  const queues = createQueues();
  const pool = createPool({ ...options, shapes, usage });
  const expired: WorkRequest[] = [];
  const lost = new Map<string, RunningTask>();
  const expire = (item: QueuedTask) => {
    remove(item);
    expired.push(item.request);
  };
  const selector = createSelector({ ...options, queues, shapes, pool, usage, remove, expire });

  function remove(item: QueuedTask) {
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
    const shape = shapes.add(request.size);
    const links = { queue: undefined, previous: undefined, next: undefined, sibling: undefined };
    queues.add({ request, index: task, shape, ...links });
    return ok(undefined);
  }

  function cancel(team: string, id: string): boolean {
    const items = queues.find(team, id);
    items.forEach(remove);
    return items.length > 0;
  }

  function finished(task: TaskId, worker: string) {
    const slot = pool.slot(worker);
    const running = slot?.ledger.task(task);
    if (slot && running) {
      if (slot.trial === task) slot.trial = undefined;
      slot.ledger.release(task);
      options.release(running.team, running.chargedTo);
    }
    const lostTask = lost.get(lostKey(task, worker));
    if (!lostTask) return;
    lost.delete(lostKey(task, worker));
    options.release(lostTask.team, lostTask.chargedTo);
  }

  /**
   * Forgets lost tasks whose worker is held again. A task that is now charged to another owner
   * stays lost, because its former charge has yet to be released.
   */
  function forgetLost(ledger: Ledger) {
    for (const { id, chargedTo } of ledger.running()) {
      const key = lostKey(id, ledger.worker.id);
      if (lost.get(key)?.chargedTo === chargedTo) lost.delete(key);
    }
  }

  function setLedgers(ledgers: readonly Ledger[]) {
    const previous = new Set(pool.slots().map(({ ledger }) => ledger));
    for (const { worker, task } of pool.setLedgers(ledgers)) {
      lost.set(lostKey(task.id, worker), task);
    }
    for (const ledger of ledgers) if (!previous.has(ledger)) forgetLost(ledger);
  }

  function releaseShapes(items: readonly QueuedTask[]): readonly WorkRequest[] {
    for (const { shape } of items) shapes.drop(shape);
    return [...new Set(items.map(({ request }) => request))];
  }

  return {
    enqueue,
    cancel,
    next: () => selector.next(),
    finished,
    expire: () => [...expired.splice(0), ...releaseShapes(queues.takeExpired(now()))],
    setLedgers,
    drain: () => [...expired.splice(0), ...releaseShapes(queues.takeAll())],
    waitingGang: () => selector.waitingGang(),
    reserve: (request, count, firstTask = 0) => selector.reserve(request, count, firstTask),
    queued: () => listBacklogs(queues, now()),
    load: () => summarizeLoad({ ...options, pool, queues, usage }),
  };
}

function lostKey(task: TaskId, worker: string): string {
  return `${worker} ${task}`;
}
