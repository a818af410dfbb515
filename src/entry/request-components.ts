/**
 * Creates the components that handle requests and jobs.
 */
import type { Claims } from '../claims/index.js';
import { rendezvousOrder } from '../hosts/index.js';
import { createJournal, type Journal } from '../journal/index.js';
import type { WorkRequest } from '../model/index.js';
import { createRequestIdHomes, type RequestIdHomes } from '../requests/index.js';
import { createCanceller, type Canceller } from './cancellation.js';
import type { ExecutionComponents } from './execution-components.js';
import type { HostContext } from './host-context.js';
import { createRequestForwarder, type RequestForwarder } from './forwarding.js';
import { createGangCoordinator } from './gangs.js';
import { createInteractiveRunner, type InteractiveRunner } from './interactive.js';
import { createJobCoordinator, requestKeyOf, type JobCoordinator } from './jobs.js';
import { bucketSubject, createRequestService, type RequestService } from './request-service.js';
import { createReservations, type Reservations } from './reservations.js';
import { createRouter } from './routing.js';
import { createTaskLookup } from './task-lookup.js';

/** The components that handle requests and jobs. */
export interface RequestComponents {
  readonly journal: Journal;
  readonly homes: RequestIdHomes;
  readonly forwarder: RequestForwarder;
  readonly interactive: InteractiveRunner;
  readonly reservations: Reservations;
  readonly jobs: JobCoordinator;
  readonly canceller: Canceller;
  readonly service: RequestService;
}

const COPY_TIMEOUT_MS = 1000;

export function createRequestComponents(
  context: HostContext,
  execution: ExecutionComponents,
): RequestComponents {
  const { host, membership, links, now, monotonicNow, abort, owner, store, timeline, settings } =
    context;
  const { claims, scheduler, runner, heldWorkers, dispatcher, table, allotments, cancelled } =
    execution;
  const signal = abort.signal;
  const spare = (team: string) => allotments.spare(team);
  const connected = () => links.connectedHosts();
  const journal: Journal = createJournal({
    store,
    dataCentre: host.dataCentre,
    owner,
    now,
    log: context.logFor('journal'),
    onLost: (records) => {
      jobs.abandon(records);
    },
  });
  const forwarder = createRequestForwarder({
    links,
    timeline,
    now,
    waitLocally: (team, id, waitMs) => table.wait(team, id, waitMs),
  });
  const router = createRouter({
    host,
    membership,
    scheduler,
    connected,
    accepting: () => !context.phase.leaving,
    spare,
  });
  const interactive = createInteractiveRunner({ host, router, dispatcher, forwarder, now });
  const reservations = createReservations({
    scheduler,
    runner,
    heldWorkers,
    onReleased: () => {
      dispatcher.dispatchQueued();
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
  const gangs = createGangCoordinator({
    host,
    membership,
    links,
    scheduler,
    reservations,
    spare,
    now,
    random: Math.random,
    isCancelled: (request: WorkRequest) => cancelled.has(requestKeyOf(request)),
    lookup,
    signal,
  });
  const jobs: JobCoordinator = createJobCoordinator({
    hostId: host.id,
    journal,
    dispatcher,
    gangs,
    router,
    forwarder,
    table,
    lookup,
    timeline,
    bootIdOf: (worker) => heldWorkers.get(worker)?.bootId ?? '',
    hasWorkers: () => heldWorkers.hasUsable(),
    cancelled,
    signal,
    log: context.logFor('jobs'),
  });
  const homes = createHostIdHomes(context, claims);
  const service = createRequestService({
    host,
    dataCentres: settings.dataCentres,
    membership,
    claims,
    homes,
    forwarder,
    interactive,
    jobs,
    table,
    timeline,
    connected,
    metrics: context.metrics,
    now,
  });
  const canceller = createCanceller({
    dispatcher,
    jobs,
    heldWorkers,
    table,
    links,
    cancelled,
  });
  return {
    journal,
    homes,
    forwarder,
    interactive,
    reservations,
    jobs,
    canceller,
    service,
  };
}

/** Copies go to hosts of the same data centre, in an order that spreads the buckets over them. */
function createHostIdHomes(
  { host, bootId, membership, links, store, now, settings }: HostContext,
  claims: Claims,
): RequestIdHomes {
  const { maxIdAgeMs, maxClockSkewMs } = settings.limits;
  return createRequestIdHomes({
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
