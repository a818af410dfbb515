/**
 * Coordinates gangs, whose tasks start together or not at all. Capacity is reserved at the hosts of the
 * data centre in ascending order of host id, so that two coordinators cannot deadlock.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Links } from '../links/index.js';
import {
  refuse,
  unknownOutcome,
  type Host,
  type Outcome,
  type RefusedOutcome,
  type WorkRequest,
} from '../model/index.js';
import type { Membership } from '../hosts/index.js';
import type { Scheduler } from '../scheduling/index.js';
import type { TaskOutcome } from '../workers/index.js';
import { combineOutcomes } from './combine-outcomes.js';
import { toDoneOutcome } from './dispatcher.js';
import type { PeerMessages, ReservedTask, ReserveMessage } from './messages.js';
import type { Reservations } from './reservations.js';
import type { TaskLookup } from './task-lookup.js';

const RESERVATION_MS = 10_000;
const RESERVE_TIMEOUT_MS = 2000;
const RETRY_MIN_MS = 100;
/** Retries are spread at random, so that competing gangs do not reserve at the same time. */
const RETRY_SPREAD_MS = 200;
/** A partial reservation is kept this long while running work ends, then released. */
const PARTIAL_RESERVATION_MS = 2000;
const RESERVE_POLL_MS = 50;
const RUN_MARGIN_MS = 60_000;
/** Time to find a replacement; a worker that changes its holder accepts tasks again within two claim steps. */
const REPLACEMENT_TIMEOUT_MS = 5000;

/** A reserved task and the host that holds its reservation. */
export interface GangTask extends ReservedTask {
  readonly host: string;
  readonly index: number;
}

export interface GangCoordinator {
  /** Runs a gang once. `recordStarts` must succeed before any task is sent. */
  run(
    request: WorkRequest,
    recordStarts: (tasks: readonly GangTask[]) => Promise<boolean>,
  ): Promise<Outcome>;
}

interface GangCoordinatorOptions {
  readonly host: Host;
  readonly membership: Membership;
  readonly links: Links<PeerMessages>;
  readonly scheduler: Scheduler;
  readonly reservations: Reservations;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
  readonly now: () => number;
  readonly random: () => number;
  /** Determines how a task ended whose host did not answer. */
  readonly lookup: TaskLookup;
  /** Whether the request was cancelled since it was submitted. */
  readonly isCancelled: (request: WorkRequest) => boolean;
  readonly signal: AbortSignal;
}

export function createGangCoordinator(options: GangCoordinatorOptions): GangCoordinator {
  const { host, membership, links, scheduler, reservations, now, random, signal } = options;

  async function run(
    request: WorkRequest,
    recordStarts: (tasks: readonly GangTask[]) => Promise<boolean>,
  ): Promise<Outcome> {
    // The dispatcher would start requests of other classes from this queue as well.
    const queued = request.class === 'gang' ? scheduler.enqueue(request) : undefined;
    if (queued?.isErr()) return queued.error;
    const tasks = await waitForRoom(request, recordStarts);
    scheduler.cancel(request.team, request.id);
    if ('kind' in tasks) return tasks;
    const outcomes = await Promise.all(
      tasks.map((task) => runWithReplacement(task, request, recordStarts)),
    );
    const [only] = outcomes;
    if (only === undefined || request.class === 'gang') return combineOutcomes(outcomes);
    return only.kind === 'failed' ? toDoneOutcome(only) : only;
  }

  /** Reserves capacity for all tasks once the gang is first in the queue. */
  async function waitForRoom(
    request: WorkRequest,
    recordStarts: (tasks: readonly GangTask[]) => Promise<boolean>,
  ): Promise<readonly GangTask[] | RefusedOutcome> {
    while (!signal.aborted) {
      const refusal = reasonToStop(request);
      if (refusal !== undefined) return refusal;
      if (isNext(request)) {
        const tasks = await reserveAll(request);
        if (tasks.length === request.tasks && (await recordStarts(tasks))) return tasks;
        releaseAll(tasks);
      }
      await pause(RETRY_MIN_MS + random() * RETRY_SPREAD_MS);
    }
    return refuse('shutting-down', 'This host is leaving; another host continues the job.');
  }

  /** A gang whose team has used up its allotment does not block the others. */
  function isNext({ id, class: workClass }: WorkRequest): boolean {
    if (workClass !== 'gang') return true;
    const first = scheduler.waitingGang();
    return first === undefined || first.id === id || options.spare(first.team) < 1;
  }

  function reasonToStop(request: WorkRequest): RefusedOutcome | undefined {
    if (options.isCancelled(request)) {
      return refuse('cancelled', 'The job was cancelled before it started.');
    }
    if (now() < request.startBefore) return undefined;
    return refuse(
      'deadline-passed',
      `There was no moment with room for all ${String(request.tasks)} tasks before the deadline.`,
    );
  }

  /** Reserves what is free and waits a bounded time for the remaining tasks. */
  async function reserveAll(request: WorkRequest): Promise<readonly GangTask[]> {
    const tasks: GangTask[] = [];
    const giveUpAt = Math.min(now() + PARTIAL_RESERVATION_MS, request.startBefore);
    for (;;) {
      for (const holder of [...membership.live(host.dataCentre)].sort()) {
        const missing = request.tasks - tasks.length;
        if (missing > 0) tasks.push(...(await reserveAt(holder, request, missing, tasks.length)));
      }
      const complete = tasks.length === request.tasks;
      if (complete || tasks.length === 0 || now() >= giveUpAt || signal.aborted) return tasks;
      await pause(RESERVE_POLL_MS);
    }
  }

  async function reserveAt(
    holder: string,
    request: WorkRequest,
    count: number,
    firstTask: number,
  ): Promise<readonly GangTask[]> {
    const message: ReserveMessage = { request, count, firstTask, expiresInMs: RESERVATION_MS };
    const reserved =
      holder === host.id ? reservations.reserve(message) : await reserveAtPeer(holder, message);
    return reserved.map((task, offset) => ({ ...task, host: holder, index: firstTask + offset }));
  }

  /** A reservation whose reply was lost expires at the peer. */
  async function reserveAtPeer(
    peer: string,
    message: ReserveMessage,
  ): Promise<readonly ReservedTask[]> {
    const reply = await links.request(peer, 'reserve', message, { timeoutMs: RESERVE_TIMEOUT_MS });
    return reply.isOk() ? reply.value.tasks : [];
  }

  /**
   * Runs a reserved task. If its worker changed its holder between reservation and start, the task did not run
   * and is placed again, because the rest of its gang may be running already.
   */
  async function runWithReplacement(
    first: GangTask,
    request: WorkRequest,
    recordStarts: (tasks: readonly GangTask[]) => Promise<boolean>,
  ): Promise<TaskOutcome> {
    let task = first;
    for (;;) {
      const outcome = await runAtHolder(task, request);
      if (outcome.kind !== 'refused' || outcome.reason !== 'worker-refused') return outcome;
      const replacement = await reserveReplacement(request, task.index);
      if (replacement === undefined) return outcome;
      if (!(await recordStarts([replacement]))) {
        releaseAll([replacement]);
        return outcome;
      }
      task = replacement;
    }
  }

  async function reserveReplacement(
    request: WorkRequest,
    index: number,
  ): Promise<GangTask | undefined> {
    const giveUpAt = now() + REPLACEMENT_TIMEOUT_MS;
    while (!signal.aborted && now() < giveUpAt) {
      for (const holder of [...membership.live(host.dataCentre)].sort()) {
        const [task] = await reserveAt(holder, request, 1, index);
        if (task !== undefined) return task;
      }
      await pause(RESERVE_POLL_MS);
    }
    return undefined;
  }

  async function runAtHolder(task: GangTask, request: WorkRequest): Promise<TaskOutcome> {
    if (task.host === host.id) return reservations.run(task.task, request);
    const reply = await links.request(
      task.host,
      'run-reserved',
      { task: task.task, request },
      { timeoutMs: request.maxRunMs + RUN_MARGIN_MS },
    );
    if (reply.isOk()) return reply.value;
    if (reply.error.kind === 'not-connected') {
      return refuse('worker-refused', `Host ${task.host} could not be reached.`);
    }
    const start = { ...task, attempt: request.attempt ?? 0 };
    const result = await options.lookup.lookUpTask(request, start);
    if (result.kind === 'done' || result.kind === 'failed') return result;
    const detail = `Host ${task.host} did not report the end of task ${task.task}.`;
    return result.kind === 'lost' ? unknownOutcome(detail) : refuse('worker-refused', detail);
  }

  function releaseAll(tasks: readonly GangTask[]): void {
    for (const { host: holder, task } of tasks) {
      if (holder === host.id) reservations.release([task]);
      else void links.request(holder, 'release', { tasks: [task] });
    }
  }

  async function pause(ms: number): Promise<void> {
    await delay(ms, undefined, { ref: false, signal }).catch(() => undefined);
  }

  return { run };
}
