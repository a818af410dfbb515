/**
 * Creates the components that claim workers, schedule work on them and run their tasks.
 */
import { createClaims, type Claims } from '../claims/index.js';
import { rendezvousOrder } from '../hosts/index.js';
import type { Worker } from '../model/index.js';
import { BUCKETS, createRequestTable, type RequestTable } from '../requests/index.js';
import type { Scheduler } from '../scheduling/index.js';
import { createAllotments, type Allotments } from '../teams/index.js';
import { createHealthTracker, type HealthTracker } from '../workers/index.js';
import { createDispatcher, type Dispatcher } from './dispatcher.js';
import type { HostContext } from './host-context.js';
import { createHeldWorkers, workerSubject, type HeldWorkers } from './held-workers.js';
import { createHostScheduler } from './host-scheduler.js';
import { requestKeyOf } from './jobs.js';
import { bucketSubject } from './request-service.js';
import { createRetryBudget } from './retry-budget.js';
import { createSettlement, type Settlement } from './settlement.js';
import { createTaskRunner, type TaskRunner } from './task-runner.js';

/** The components that claim workers, schedule work on them and run their tasks. */
export interface ExecutionComponents {
  readonly claims: Claims;
  readonly health: HealthTracker;
  readonly allotments: Allotments;
  readonly settlement: Settlement;
  readonly scheduler: Scheduler;
  readonly heldWorkers: HeldWorkers;
  readonly runner: TaskRunner;
  readonly dispatcher: Dispatcher;
  readonly table: RequestTable;
  /** Requests that must not be retried, by team and id. */
  readonly cancelled: Set<string>;
}

/** Connecting to live peers may take this long, because dialling backs off. */
const MIN_START_GRACE_MS = 5000;
/**
 * A silent host counts as live for this many suspicion timeouts after it made a claim. This bounds how often two hosts
 * that reach the store but not each other take over claims from each other.
 */
const SUSPICIONS_PER_SILENT_OWNER = 12;

export function createExecutionComponents(context: HostContext): ExecutionComponents {
  const { host, bootId, owner, store, membership, now, monotonicNow, timeline } = context;
  const { settings, logFor, abort } = context;
  const cancelled = new Set<string>();
  const table = createRequestTable({ now: monotonicNow });
  const claims = createClaims({
    store,
    membership,
    host,
    bootId,
    subjects: () => listSubjects(context),
    rendezvousOrder,
    now: monotonicNow,
    startGraceMs: Math.max(MIN_START_GRACE_MS, settings.timers.suspectAfterMs),
    pauseThresholdMs: settings.timers.suspectAfterMs / 2,
    silentOwnerMs: SUSPICIONS_PER_SILENT_OWNER * settings.timers.suspectAfterMs,
    log: logFor('claims'),
  });
  const health = createHealthTracker({ now: monotonicNow });
  const allotments = createAllotments({ store, owner, now: monotonicNow, log: logFor('teams') });
  const settlement = createSettlement({
    claims,
    allotments,
    owner,
    hasEnded: (formerOwner) => hasEnded(context, formerOwner),
  });
  const scheduler = createHostScheduler(context, {
    health,
    allotments,
    heldWorkers: () => heldWorkers,
  });
  const heldWorkers: HeldWorkers = createHeldWorkers({
    findWorker: (id) => findWorker(context, id),
    adopt: (claim, tasks) => settlement.adopt(claim, tasks),
    onAdopted: (held, tasks) => {
      for (const task of tasks) void runner.awaitEnd(held, task);
    },
    onRestart: (held, tasks) => {
      for (const task of tasks) scheduler.finished(task.id, held.worker.id);
    },
    onChange: () => {
      scheduler.setLedgers(heldWorkers.ledgers());
      dispatcher.dispatchQueued();
    },
    owner,
    leaseMs: settings.timers.leaseMs,
    now: monotonicNow,
    log: logFor('workers'),
  });
  const runner = createTaskRunner({
    heldWorkers,
    health,
    timeline,
    release: (task, worker) => {
      scheduler.finished(task, worker);
    },
    owner,
    leaseMs: settings.timers.leaseMs,
    signal: abort.signal,
  });
  const dispatcher = createDispatcher({
    scheduler,
    runner,
    retryBudget: createRetryBudget(),
    timeline,
    now,
    isCancelled: (request) => cancelled.has(requestKeyOf(request)),
    onStarted: ({ team, id }) => {
      table.setState(team, id, 'running');
    },
  });
  return {
    claims,
    health,
    allotments,
    settlement,
    scheduler,
    heldWorkers,
    runner,
    dispatcher,
    table,
    cancelled,
  };
}

function listSubjects({ membership, host }: HostContext): readonly string[] {
  const workers = membership.workers(host.dataCentre).map(({ id }) => workerSubject(id));
  const buckets = Array.from({ length: BUCKETS }, (_, bucket) => bucketSubject(bucket));
  return [...workers, ...buckets];
}

export function findWorker({ membership, host }: HostContext, id: string): Worker | undefined {
  return membership.workers(host.dataCentre).find((worker) => worker.id === id);
}

/**
 * Whether the process of an owner has certainly ended: another process runs on its host, or the
 * platform no longer lists the host. A silent process may be paused and resume.
 */
function hasEnded({ membership }: HostContext, owner: string): boolean {
  const [id = '', bootId] = owner.split('/');
  const heartbeat = membership.heartbeat(id);
  if (heartbeat !== undefined && heartbeat.bootId !== bootId) return true;
  return !membership.hosts().some((known) => known.id === id);
}
