/**
 * Queued tasks: one linked list per team and class, for insertion and removal in constant time, and
 * buckets by deadline for expiry.
 */
import type { WorkClass, WorkRequest } from '../model/index.js';
import type { TeamQueue } from './order.js';
import type { Shape } from './shapes.js';

/** Width of a deadline bucket; `takeExpired` checks whole buckets. */
const DEADLINE_BUCKET_MS = 100;

/** One queued task. */
export interface QueuedTask {
  readonly request: WorkRequest;
  /** Index of the task within its request. */
  readonly index: number;
  readonly shape: Shape;
  queue: TaskQueue | undefined;
  previous: QueuedTask | undefined;
  next: QueuedTask | undefined;
  /** Another queued task of the same request. */
  sibling: QueuedTask | undefined;
}

/** The list of one team and class. Ordering policies read its shares, which are refreshed before. */
export class TaskQueue implements TeamQueue {
  length = 0;
  share = 1;
  dominantShare = 0;
  first: QueuedTask | undefined;
  private last: QueuedTask | undefined;

  constructor(
    readonly team: string,
    readonly workClass: WorkClass,
  ) {}

  get class(): WorkClass {
    return this.workClass;
  }

  get oldest(): number {
    return this.first?.request.submittedAt ?? Infinity;
  }

  append(item: QueuedTask) {
    item.queue = this;
    item.previous = this.last;
    if (this.last) this.last.next = item;
    else this.first = item;
    this.last = item;
    this.length += 1;
  }

  unlink(item: QueuedTask) {
    if (item.previous) item.previous.next = item.next;
    else this.first = item.next;
    if (item.next) item.next.previous = item.previous;
    else this.last = item.previous;
    item.queue = undefined;
    item.previous = undefined;
    item.next = undefined;
    this.length -= 1;
  }
}

/** All queued tasks of one host. */
export interface Queues {
  add(item: QueuedTask): void;
  remove(item: QueuedTask): void;
  /** Queued tasks of the request. */
  find(team: string, id: string): readonly QueuedTask[];
  /** Removes and returns the tasks whose latest start has passed. */
  takeExpired(now: number): readonly QueuedTask[];
  takeAll(): readonly QueuedTask[];
  /** Non-empty queues of the class. */
  active(workClass: WorkClass): ReadonlySet<TaskQueue>;
  queued(workClass: WorkClass): number;
  queuedOfEntry(entry: string): number;
  queuedOfTeam(workClass: WorkClass, team: string): number;
}

interface ClassQueues {
  readonly teams: Map<string, TaskQueue>;
  readonly active: Set<TaskQueue>;
  queued: number;
}

export function createQueues(): Queues {
  const classes: Record<WorkClass, ClassQueues> = {
    interactive: emptyClass(),
    batch: emptyClass(),
    gang: emptyClass(),
    service: emptyClass(),
  };
  const byRequest = new Map<string, QueuedTask>();
  const byEntry = new Map<string, number>();
  const deadlines = new Map<number, Set<QueuedTask>>();
  let lastBucket = -Infinity;

  function add(item: QueuedTask) {
    const { request } = item;
    const classQueues = classes[request.class];
    const queue = classQueues.teams.get(request.team) ?? new TaskQueue(request.team, request.class);
    classQueues.teams.set(request.team, queue);
    queue.append(item);
    classQueues.active.add(queue);
    classQueues.queued += 1;
    const key = requestKey(request);
    item.sibling = byRequest.get(key);
    byRequest.set(key, item);
    byEntry.set(request.entry, (byEntry.get(request.entry) ?? 0) + 1);
    const bucket = bucketOf(request.startBefore);
    const items = deadlines.get(bucket) ?? new Set();
    deadlines.set(bucket, items.add(item));
    // The deadline may fall into a bucket that `takeExpired` has already processed.
    lastBucket = Math.min(lastBucket, bucket - 1);
  }

  function remove(item: QueuedTask) {
    const { request, queue } = item;
    if (!queue) return;
    const classQueues = classes[request.class];
    queue.unlink(item);
    classQueues.queued -= 1;
    if (queue.length === 0) {
      classQueues.active.delete(queue);
      classQueues.teams.delete(queue.team);
    }
    unlinkSibling(byRequest, item);
    const left = (byEntry.get(request.entry) ?? 1) - 1;
    if (left === 0) byEntry.delete(request.entry);
    else byEntry.set(request.entry, left);
    const bucket = bucketOf(request.startBefore);
    const items = deadlines.get(bucket);
    items?.delete(item);
    if (items?.size === 0) deadlines.delete(bucket);
  }

  function takeExpired(now: number): readonly QueuedTask[] {
    const bucketNow = bucketOf(now);
    const expired: QueuedTask[] = [];
    for (const bucket of dueBuckets(deadlines, lastBucket, bucketNow)) {
      for (const item of deadlines.get(bucket) ?? []) {
        if (item.request.startBefore < now) expired.push(item);
      }
    }
    lastBucket = bucketNow - 1;
    expired.forEach(remove);
    return expired;
  }

  function takeAll(): readonly QueuedTask[] {
    const all: QueuedTask[] = [];
    for (const classQueues of Object.values(classes)) {
      for (const queue of classQueues.active) {
        for (let item = queue.first; item; item = item.next) all.push(item);
      }
    }
    all.forEach(remove);
    return all;
  }

  return {
    add,
    remove,
    find: (team, id) => siblings(byRequest.get(requestKey({ team, id }))),
    takeExpired,
    takeAll,
    active: (workClass) => classes[workClass].active,
    queued: (workClass) => classes[workClass].queued,
    queuedOfEntry: (entry) => byEntry.get(entry) ?? 0,
    queuedOfTeam: (workClass, team) => classes[workClass].teams.get(team)?.length ?? 0,
  };
}

function emptyClass(): ClassQueues {
  return { teams: new Map(), active: new Set(), queued: 0 };
}

function requestKey({ team, id }: Pick<WorkRequest, 'team' | 'id'>): string {
  return `${team} ${id}`;
}

function bucketOf(time: number): number {
  return Math.floor(time / DEADLINE_BUCKET_MS);
}

/** The buckets due since the last call; after a long pause, filters the existing ones instead. */
function dueBuckets(
  deadlines: ReadonlyMap<number, unknown>,
  after: number,
  upTo: number,
): readonly number[] {
  if (upTo - after > deadlines.size) {
    return [...deadlines.keys()].filter((bucket) => bucket <= upTo);
  }
  return Array.from({ length: upTo - after }, (_, index) => after + 1 + index);
}

function siblings(first: QueuedTask | undefined): readonly QueuedTask[] {
  const items: QueuedTask[] = [];
  for (let item = first; item; item = item.sibling) items.push(item);
  return items;
}

function unlinkSibling(byRequest: Map<string, QueuedTask>, item: QueuedTask) {
  const key = requestKey(item.request);
  const first = byRequest.get(key);
  if (first === item) {
    if (item.sibling) byRequest.set(key, item.sibling);
    else byRequest.delete(key);
    return;
  }
  for (let other = first; other; other = other.sibling) {
    if (other.sibling === item) other.sibling = item.sibling;
  }
}
