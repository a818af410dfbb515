/**
 * Creates the parts of an entry host in the order in which they need each other.
 */
import { createClaims, type Claims } from '../claims/index.js';
import { rendezvousOrder, type Heartbeat } from '../hosts/index.js';
import { createJournal, type Journal } from '../journal/index.js';
import {
  NO_RESOURCES,
  addResources,
  type Resources,
  type Worker,
  type WorkRequest,
} from '../model/index.js';
import {
  BUCKETS,
  createHomes,
  createRequestTable,
  type Homes,
  type RequestTable,
} from '../requests/index.js';
import { choosePolicy, createScheduler, type Scheduler } from '../scheduling/index.js';
import { createAllotments, type Allotments } from '../teams/index.js';
import { createHealth, createWorkerClient, type Health } from '../workers/index.js';
import { createCanceller, type Canceller } from './cancellation.js';
import { createDispatcher, type Dispatcher } from './dispatcher.js';
import type { Foundation } from './foundation.js';
import { createForwarding, type Forwarding } from './forwarding.js';
import { createGangs } from './gangs.js';
import { createHoldings, workerSubject, type Holdings } from './holdings.js';
import { createInteractive, type Interactive } from './interactive.js';
import { createJobs, keyOf, type Jobs } from './jobs.js';
import { bucketSubject, createRequestService, type RequestService } from './request-service.js';
import { createReservations, type Reservations } from './reservations.js';
import { createRetryBudget } from './retry-budget.js';
import { createRouter } from './routing.js';
import { createSettlement, type Settlement } from './settlement.js';
import { createTaskLookup } from './task-lookup.js';
import { createTaskRunner, type TaskRunner } from './task-runner.js';

/** Everything that decides about workers and starts tasks on them. */
interface Execution {
  readonly claims: Claims;
  readonly health: Health;
  readonly allotments: Allotments;
  readonly settlement: Settlement;
  readonly scheduler: Scheduler;
  readonly holdings: Holdings;
  readonly runner: TaskRunner;
  readonly dispatcher: Dispatcher;
  readonly table: RequestTable;
  /** Requests that must not be tried again, by team and id. */
  readonly cancelled: Set<string>;
}

export interface Parts extends Foundation, Execution {
  readonly journal: Journal;
  readonly homes: Homes;
  readonly forwarding: Forwarding;
  readonly interactive: Interactive;
  readonly reservations: Reservations;
  readonly jobs: Jobs;
  readonly canceller: Canceller;
  readonly service: RequestService;
  readonly fleetWorker: (id: string) => Worker | undefined;
  /** Renews the leases on a worker that this host does not hold. */
  readonly renewLeases: (worker: Worker, epoch: number) => Promise<void>;
  readonly describeHeartbeat: () => Heartbeat;
  readonly sendHeartbeats: () => void;
}

const DEFAULT_MAX_QUEUED = 1000;
/** Links to peers that are alive may take this long, because dialling backs off. */
const MIN_START_GRACE_MS = 5000;
/** Two hosts that hear only the store, not each other, take claims over no more often than this. */
const SUSPICIONS_PER_SILENT_OWNER = 12;

export function createParts(foundation: Foundation): Parts {
  const execution = createExecution(foundation);
  const requests = createRequestParts(foundation, execution);
  const describeHeartbeat = () => createHeartbeat(foundation, execution.scheduler);
  return {
    ...foundation,
    ...execution,
    ...requests,
    fleetWorker: (id) => findWorker(foundation, id),
    renewLeases: async (worker, epoch) => {
      const client = createWorkerClient({ worker, connections: 1 });
      await client.renew(epoch, foundation.settings.timers.leaseMs);
      await client.close();
    },
    describeHeartbeat,
    sendHeartbeats: () => {
      const beat = describeHeartbeat();
      for (const peer of foundation.links.connected()) {
        foundation.links.notify(peer, 'heartbeat', beat);
      }
    },
  };
}

function createExecution(foundation: Foundation): Execution {
  const { host, bootId, owner, store, membership, now, monotonicNow, timeline } = foundation;
  const { settings, logs, abort } = foundation;
  const cancelled = new Set<string>();
  const table = createRequestTable({ now: monotonicNow });
  const claims = createClaims({
    store,
    membership,
    host,
    bootId,
    subjects: () => listSubjects(foundation),
    rendezvousOrder,
    now: monotonicNow,
    startGraceMs: Math.max(MIN_START_GRACE_MS, settings.timers.suspectAfterMs),
    pauseMs: settings.timers.suspectAfterMs / 2,
    silentOwnerMs: SUSPICIONS_PER_SILENT_OWNER * settings.timers.suspectAfterMs,
    log: logs('claims'),
  });
  const health = createHealth({ now: monotonicNow });
  const allotments = createAllotments({ store, owner, now: monotonicNow, log: logs('teams') });
  const settlement = createSettlement({
    claims,
    allotments,
    owner,
    isGone: (former) => isGone(foundation, former),
  });
  const scheduler = createHostScheduler(foundation, {
    health,
    allotments,
    holdings: () => holdings,
  });
  const holdings: Holdings = createHoldings({
    findWorker: (id) => findWorker(foundation, id),
    adopt: (claim, tasks) => settlement.adopt(claim, tasks),
    onAdopted: (held, tasks) => {
      for (const task of tasks) void runner.follow(held, task);
    },
    onRestart: (held, tasks) => {
      for (const task of tasks) scheduler.finished(task.id, held.worker.id);
    },
    onChange: () => {
      scheduler.setLedgers(holdings.ledgers());
      dispatcher.pump();
    },
    owner,
    leaseMs: settings.timers.leaseMs,
    now: monotonicNow,
    log: logs('workers'),
  });
  const runner = createTaskRunner({
    holdings,
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
    retries: createRetryBudget(),
    timeline,
    now,
    isCancelled: (request) => cancelled.has(keyOf(request)),
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
    holdings,
    runner,
    dispatcher,
    table,
    cancelled,
  };
}

interface SchedulerParts {
  readonly health: Health;
  readonly allotments: Allotments;
  readonly holdings: () => Holdings;
}

function createHostScheduler(
  { membership, configuration, owner, now, settings, host }: Foundation,
  { health, allotments, holdings }: SchedulerParts,
): Scheduler {
  const others = () =>
    membership
      .live()
      .filter((id) => id !== host.id)
      .map((id) => membership.heartbeat(id))
      .filter((beat) => beat !== undefined);
  const scheduler: Scheduler = createScheduler({
    now,
    random: Math.random,
    health: {
      ...health,
      state: (worker) => (holdings().isUsable(worker) ? health.state(worker) : 'out'),
    },
    owner,
    epoch: (worker) => holdings().get(worker)?.epoch ?? 0,
    team: (name) => configuration.current()?.teams.get(name),
    teamNames: () => configuration.current()?.teams.keys() ?? [],
    fleetUse: (team) => sumOf(others().map(({ load }) => load.teams[team]?.used ?? NO_RESOURCES)),
    cell: () =>
      addResources(
        sumOf(others().map(({ load }) => load.capacity)),
        sumOf(
          holdings()
            .all()
            .map(({ worker }) => worker.capacity),
        ),
      ),
    workers: () => membership.workers(host.dataCentre),
    acquire: (team) => allotments.acquire(team),
    release: (team, chargedTo) => {
      allotments.release(team, chargedTo);
    },
    spare: (team) => allotments.spare(team),
    maxQueued: (entry) =>
      configuration.current()?.entries.get(entry)?.maxQueued ?? DEFAULT_MAX_QUEUED,
    urgentShare: settings.scheduling.urgentShare,
    agingMs: settings.scheduling.maxWaitBoostMs,
    ...choosePolicy(settings.scheduling.weights),
  });
  return {
    ...scheduler,
    // Peers queue nothing at a host whose workers all leave or are unreachable.
    load: () => {
      const load = scheduler.load();
      return holdings().anyUsable() ? load : { ...load, capacity: NO_RESOURCES };
    },
  };
}

type RequestParts = Omit<
  Parts,
  | keyof Foundation
  | keyof Execution
  | 'fleetWorker'
  | 'renewLeases'
  | 'describeHeartbeat'
  | 'sendHeartbeats'
>;

function createRequestParts(foundation: Foundation, execution: Execution): RequestParts {
  const { host, membership, links, now, monotonicNow, abort, owner, store, timeline, settings } =
    foundation;
  const { claims, scheduler, runner, holdings, dispatcher, table, allotments, cancelled } =
    execution;
  const signal = abort.signal;
  const spare = (team: string) => allotments.spare(team);
  const connected = () => links.connected();
  const journal: Journal = createJournal({
    store,
    dataCentre: host.dataCentre,
    owner,
    now,
    log: foundation.logs('journal'),
    onLost: (records) => {
      jobs.abandon(records);
    },
  });
  const forwarding = createForwarding({
    links,
    timeline,
    now,
    waitHere: (team, id, waitMs) => table.wait(team, id, waitMs),
  });
  const router = createRouter({
    host,
    membership,
    scheduler,
    connected,
    accepting: () => !foundation.phase.leaving,
    spare,
  });
  const interactive = createInteractive({ host, router, dispatcher, forwarding, now });
  const reservations = createReservations({
    scheduler,
    runner,
    holdings,
    onReleased: () => {
      dispatcher.pump();
    },
  });
  const lookup = createTaskLookup({
    host,
    claims,
    membership,
    links,
    runner,
    leaseMs: settings.timers.leaseMs,
    now: monotonicNow,
    signal,
  });
  const gangs = createGangs({
    host,
    membership,
    links,
    scheduler,
    reservations,
    spare,
    now,
    random: Math.random,
    isCancelled: (request: WorkRequest) => cancelled.has(keyOf(request)),
    lookup,
    signal,
  });
  const jobs: Jobs = createJobs({
    hostId: host.id,
    journal,
    dispatcher,
    gangs,
    router,
    forwarding,
    table,
    lookup,
    timeline,
    bootIdOf: (worker) => holdings.get(worker)?.bootId ?? '',
    hasWorkers: () => holdings.anyUsable(),
    cancelled,
    signal,
    log: foundation.logs('jobs'),
  });
  const homes = createHostHomes(foundation, claims);
  const service = createRequestService({
    host,
    dataCentres: settings.dataCentres,
    membership,
    claims,
    homes,
    forwarding,
    interactive,
    jobs,
    table,
    timeline,
    connected,
    metrics: foundation.metrics,
    now,
  });
  const canceller = createCanceller({ dispatcher, jobs, holdings, table, links, cancelled });
  return { journal, homes, forwarding, interactive, reservations, jobs, canceller, service };
}

/** Copies go to hosts of the own data centre, in an order that spreads the buckets. */
function createHostHomes(
  { host, bootId, membership, links, store, now, settings }: Foundation,
  claims: Claims,
): Homes {
  const { maxIdAgeMs, maxClockSkewMs } = settings.limits;
  return createHomes({
    host: host.id,
    now,
    maxIdAgeMs,
    maxClockSkewMs,
    copyHosts: (bucket) => {
      const peers = membership.live(host.dataCentre).filter((id) => id !== host.id);
      return rendezvousOrder(bucketSubject(bucket), peers);
    },
    sendRemember: async (peer, message) =>
      (await links.request(peer, 'remember', message, { timeoutMs: COPY_TIMEOUT_MS })).unwrapOr(
        undefined,
      ),
    sendFence: async (peer, message) =>
      (await links.request(peer, 'fence', message, { timeoutMs: COPY_TIMEOUT_MS })).unwrapOr(
        undefined,
      ),
    createRecord: async (team, id) => {
      const created = await store.compareAndSwap(`ids/${team}/${id}`, 0, host.id);
      if (created.isOk()) return 'created';
      return created.error.kind === 'conflict' ? 'exists' : 'unavailable';
    },
    confirmOwner: async (bucket, epoch) => {
      const claim = await claims.readOwner(bucketSubject(bucket));
      if (claim.isErr()) return 'unavailable';
      const owns = claim.value?.bootId === bootId && claim.value.epoch === epoch;
      return owns ? 'owner' : 'fenced';
    },
    epochOf: (bucket) => claims.epochOf(bucketSubject(bucket)),
    isOnlyHost: () =>
      membership.hosts().every(({ id, dataCentre }) => {
        return id === host.id || dataCentre !== host.dataCentre;
      }),
  });
}

const COPY_TIMEOUT_MS = 1000;

function createHeartbeat(foundation: Foundation, scheduler: Scheduler): Heartbeat {
  const { host, bootId, phase, configuration } = foundation;
  return {
    host: host.id,
    dataCentre: host.dataCentre,
    bootId,
    state: phase.leaving ? 'leaving' : 'live',
    revision: configuration.current()?.revision ?? 0,
    storeContactAgeMs: configuration.storeContactAgeMs(),
    storeReachable: configuration.storeReachable(),
    load: scheduler.load(),
  };
}

/** Workers and id buckets of the data centre. */
function listSubjects({ membership, host }: Foundation): readonly string[] {
  const workers = membership.workers(host.dataCentre).map(({ id }) => workerSubject(id));
  const buckets = Array.from({ length: BUCKETS }, (_, bucket) => bucketSubject(bucket));
  return [...workers, ...buckets];
}

function findWorker({ membership, host }: Foundation, id: string): Worker | undefined {
  return membership.workers(host.dataCentre).find((worker) => worker.id === id);
}

/**
 * Whether the process of an owner has certainly ended: another process runs on its host, or the
 * platform no longer lists the host. A silent process may be paused and go on.
 */
function isGone({ membership }: Foundation, owner: string): boolean {
  const [id = '', bootId] = owner.split('/');
  const heard = membership.heartbeat(id);
  if (heard !== undefined && heard.bootId !== bootId) return true;
  return !membership.hosts().some((known) => known.id === id);
}

function sumOf(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}
