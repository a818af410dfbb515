/**
 * Client of the advice service, which decides on which workers a step may run and issues the tickets that prove it.
 * Queues and sends the queries, and caches the permits.
 *
 * The service can become the bottleneck in three ways:
 * - An urgent query waits behind a long one. The service handles one call at a time for each calling host, and a call
 *   for a wide step takes up to a second, so some hosts are reserved for short calls.
 * - More queries arrive than the service can answer. They are sent in the order in which their steps get workers, and
 *   each host has the next short call in flight while the service decides the current one.
 * - A pool has hundreds of workers. A query names only the workers with the most free processors, and asks about others
 *   when nothing else waits and they have room for a task.
 *
 * In an overload hundreds of steps wait in every round. The leader prepares only as many queries as the hosts can take
 * soon, because preparing a query for each step would cost it more than the placements themselves.
 */
import type { EventLog, Meters } from '../observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../advice/index.js';
import type { AdviceTiming } from '../queues/index.js';

/** A ticket is not used when it has less than this left; the order takes a store write and a call. */
const TICKET_MARGIN_MS = 200;
/** A call longer than this counts as long. */
const LONG_CALL_MS = 60;
/** Fraction of the hosts that is reserved for short calls, and the least number of them. */
const RESERVED_FRACTION = 0.15;
const MIN_RESERVED_CALLERS = 2;
/**
 * Total decision time of the calls that one host may have in flight. The round trip to the service through the calling
 * host takes up to 30 ms, in which the service decides two or three short queries.
 */
const MAX_IN_FLIGHT_MS = 40;
/** Time for which a caller is not used after a failed call. */
const FAILURE_BACKOFF_MS = 300;
/**
 * Decision time of the short queries that are prepared for each host, and the number of long ones. Others would be
 * replaced by the next planning round before they are sent.
 */
const PREPARED_MS = 100;
const PREPARED_LONG_CALLS = 1;
/** Most workers in a query for a narrow step. With 70, naming them takes as long as the decision itself. */
const DEFAULT_WORKERS_PER_CALL = 48;
/** Workers per task in a query for a wide step. A third of the workers may run it, each with room for a task or two. */
const WORKERS_PER_TASK = 3;
/** Bound on the workers that one call may name. */
const MAX_WORKERS_PER_CALL = 100;

interface Permit {
  readonly allowed: boolean;
  readonly ticket: string;
  readonly validUntil: number;
  /** Start of the worker's incarnation that the ticket is valid for. */
  readonly born: number;
}

interface Query {
  readonly step: string;
  readonly workers: ReadonlyMap<string, number>;
  readonly queuedAt: number;
  readonly expectedMs: number;
}

interface StepPermits {
  readonly permits: Map<string, Permit>;
  /** Whether a call is in flight. */
  pending: boolean;
}

interface MissingPermits {
  readonly workers: Map<string, number>;
  /** Whether permits for other workers are known already, so that a long query for the step is sent last. */
  readonly additional: boolean;
}

interface CallerLoad {
  /** Calls in flight. */
  calls: number;
  /** Total decision time of the calls in flight. */
  expectedMs: number;
  /** Whether a long call is in flight. */
  hasLongCall: boolean;
  /** Whether the caller is not used because a call has just failed. */
  inBackoff: boolean;
}

export interface PermitClient {
  /**
   * Queries missing permits: for workers that were never named and, if `renew` is set, for tickets about to expire.
   * The requests come in the order in which their steps get workers and replace those that wait.
   */
  requestMissing(requests: readonly PermitRequest[]): void;
  /** Queries permits for steps that no round has seen yet, unless other queries wait, which go in the order of a round. */
  requestFirst(requests: readonly PermitRequest[]): void;
  /** A ticket that is valid long enough to order a start; undefined if there is none. */
  ticket(step: string, worker: string, born: number): string | undefined;
  /** Whether the service has answered for the step. */
  isKnown(step: string): boolean;
  /** Those of the workers for which `ticket` returns a ticket. */
  startable<Worker extends NamedWorker>(
    step: string,
    workers: readonly Worker[],
    bornOf: (worker: Worker) => number | undefined,
  ): readonly Worker[];
  /** Those of the workers that may run the step, as far as the service was asked. */
  runnable<Worker extends NamedWorker>(step: string, workers: readonly Worker[]): readonly Worker[];
  /** Invalidates a ticket that a worker has refused. */
  invalidate(step: string, worker: string): void;
  forget(step: string): void;
  /** Sends queued queries to hosts that can take another call. */
  readonly dispatchQueued: () => void;
}

export interface NamedWorker {
  readonly id: string;
}

export interface PermitRequest {
  readonly step: string;
  readonly timing: AdviceTiming;
  /** Number of waiting tasks. */
  readonly tasks: number;
  /** Start of the incarnation of each usable worker by id, those with the most free processors first. */
  readonly workers: ReadonlyMap<string, number>;
  /** Number of workers at the head of `workers` that have free processors for a task of the step. */
  readonly withRoom: number;
  readonly renew: boolean;
  /** Whether an additional query may name workers that were not named before. */
  readonly additional: boolean;
}

export interface PermitClientOptions {
  readonly callers: () => readonly AdviceCaller[];
  readonly events: EventLog;
  readonly meters: Meters;
  readonly onPermits: () => void;
  readonly now?: () => number;
}

export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { events, meters, now = () => performance.now() } = options;
  const steps = new Map<string, StepPermits>();
  const loads = new Map<string, CallerLoad>();
  /** Queries that wait for a caller, the next one first. */
  let queue: Query[] = [];

  function dispatchQueued() {
    const remaining: Query[] = [];
    const callers = options.callers().filter(({ name }) => !loadOf(name).inBackoff);
    let takesShort = true;
    let takesLong = true;
    for (const query of queue) {
      const caller = (isLong(query) ? takesLong : takesShort)
        ? chooseCaller(callers, query)
        : undefined;
      if (caller !== undefined) {
        void sendQuery(caller, query);
        continue;
      }
      remaining.push(query);
      takesLong = false;
      // If no host can take a short call, none can take the others.
      if (!isLong(query)) takesShort = false;
    }
    queue = remaining;
  }

  /** A long call may follow short ones, which delay it little, but no call follows a long one. */
  function chooseCaller(callers: readonly AdviceCaller[], query: Query): AdviceCaller | undefined {
    const candidates = isLong(query)
      ? callers.filter(({ name }) => !loadOf(name).hasLongCall)
      : callers.filter((caller) => isIdle(caller) || fitsInFlight(caller, query));
    const share = Math.ceil(callers.length * RESERVED_FRACTION);
    const reserved = Math.min(Math.max(MIN_RESERVED_CALLERS, share), callers.length - 1);
    if (isLong(query) && candidates.length <= reserved) return undefined;
    let best: AdviceCaller | undefined;
    for (const candidate of candidates) {
      if (best === undefined || loadOf(candidate.name).expectedMs < loadOf(best.name).expectedMs)
        best = candidate;
    }
    return best;
  }

  function isIdle({ name }: AdviceCaller): boolean {
    return loadOf(name).calls === 0;
  }

  function fitsInFlight({ name }: AdviceCaller, { expectedMs }: Query): boolean {
    return loadOf(name).expectedMs + expectedMs <= MAX_IN_FLIGHT_MS;
  }

  function loadOf(caller: string): CallerLoad {
    let load = loads.get(caller);
    if (load === undefined) {
      load = { calls: 0, expectedMs: 0, hasLongCall: false, inBackoff: false };
      loads.set(caller, load);
    }
    return load;
  }

  async function sendQuery(caller: AdviceCaller, query: Query): Promise<void> {
    const load = loadOf(caller.name);
    const known = steps.get(query.step);
    if (known !== undefined) known.pending = true;
    load.calls += 1;
    load.expectedMs += query.expectedMs;
    if (isLong(query)) load.hasLongCall = true;
    const sentAt = now();
    const answer = await caller.advise(query.step, [...query.workers.keys()]);
    load.calls -= 1;
    // Adding and subtracting fractions leaves a rounding remainder, so an idle host is set to zero.
    load.expectedMs = load.calls === 0 ? 0 : load.expectedMs - query.expectedMs;
    if (isLong(query)) load.hasLongCall = false;
    meters.adviceCalls.inc({ outcome: answer === undefined ? 'failed' : 'answered' });
    storeAnswer(query, answer, sentAt);
    events.info('permits-answered', {
      step: query.step,
      caller: caller.name,
      named: query.workers.size,
      granted: answer?.permits.length,
      waitedMs: Math.round(sentAt - query.queuedAt),
      tookMs: Math.round(now() - sentAt),
      expectedMs: Math.round(query.expectedMs),
      waiting: queue.length,
    });
    if (answer === undefined) {
      load.inBackoff = true;
      setTimeout(() => {
        load.inBackoff = false;
        dispatchQueued();
      }, FAILURE_BACKOFF_MS).unref();
      return;
    }
    options.onPermits();
    dispatchQueued();
  }

  function storeAnswer(query: Query, answer: AdviceAnswer | undefined, sentAt: number) {
    const known = steps.get(query.step);
    if (known === undefined) return;
    known.pending = false;
    if (answer === undefined) return;
    const tickets = new Map(answer.permits.map(({ worker, ticket }) => [worker, ticket]));
    // The decision may have been made at any moment of the call; the answer's own way is short.
    const validFrom = Math.max(sentAt, now() - TICKET_MARGIN_MS / 2);
    for (const [worker, born] of query.workers) {
      const ticket = tickets.get(worker);
      known.permits.set(worker, {
        allowed: ticket !== undefined,
        ticket: ticket ?? '',
        validUntil: validFrom + answer.validMs,
        born,
      });
    }
  }

  function isFresh(permit: Permit, born: number, leadMs: number, nowMs = now()): boolean {
    return permit.born === born && permit.validUntil - nowMs > leadMs;
  }

  /** The queries that hosts can take soon, long additional ones last. */
  function prepareQueries(requests: readonly PermitRequest[]): Query[] {
    const queuedAt = new Map(queue.map((query) => [query.step, query.queuedAt]));
    const callers = Math.max(1, options.callers().length);
    const initial: Query[] = [];
    const additional: Query[] = [];
    let shortMs = 0;
    let longCalls = 0;
    for (const request of requests) {
      const { step, timing } = request;
      const usuallyLong = estimateCallMs(timing, DEFAULT_WORKERS_PER_CALL) > LONG_CALL_MS;
      const isEnough = usuallyLong
        ? longCalls >= callers * PREPARED_LONG_CALLS
        : shortMs >= callers * PREPARED_MS;
      if (isEnough) continue;
      const missing = findMissing(request);
      const { workers } = missing;
      if (workers.size === 0) continue;
      const expectedMs = estimateCallMs(timing, workers.size);
      const query = { step, workers, queuedAt: queuedAt.get(step) ?? now(), expectedMs };
      // A short additional query costs little, and the workers named before may be full by now.
      if (missing.additional && expectedMs > LONG_CALL_MS) {
        if (additional.length < callers) additional.push(query);
        continue;
      }
      initial.push(query);
      if (usuallyLong) longCalls += 1;
      else shortMs += expectedMs;
    }
    return [...initial, ...additional];
  }

  /** Workers to name in the next query for the step; none while a call is in flight. */
  function findMissing({ step, timing, workers, ...request }: PermitRequest): MissingPermits {
    const known = steps.get(step) ?? { permits: new Map<string, Permit>(), pending: false };
    steps.set(step, known);
    if (known.pending) return { workers: new Map(), additional: false };
    if (request.renew) {
      const leadMs = TICKET_MARGIN_MS + estimateCallMs(timing, known.permits.size);
      const expiring = findExpiring(known, workers, leadMs);
      if (expiring.size > 0) return { workers: expiring, additional: false };
    }
    const additional = known.permits.size > 0;
    if (additional && !request.additional) return { workers: new Map(), additional };
    const limit = Math.min(
      MAX_WORKERS_PER_CALL,
      Math.max(DEFAULT_WORKERS_PER_CALL, request.tasks * WORKERS_PER_TASK),
    );
    const unrequested = new Map<string, number>();
    // A full worker is of use to a step only once it has room, and the permit may have expired by then.
    let left = additional ? request.withRoom : workers.size;
    for (const [worker, born] of workers) {
      if (left <= 0 || unrequested.size >= limit) break;
      left -= 1;
      if (!known.permits.has(worker)) unrequested.set(worker, born);
    }
    return { workers: unrequested, additional };
  }

  function findExpiring(
    { permits }: StepPermits,
    workers: ReadonlyMap<string, number>,
    leadMs: number,
  ): Map<string, number> {
    const expiring = new Map<string, number>();
    for (const [worker, permit] of permits) {
      const born = workers.get(worker);
      if (born === undefined || !permit.allowed || isFresh(permit, born, leadMs)) continue;
      expiring.set(worker, born);
      if (expiring.size >= MAX_WORKERS_PER_CALL) break;
    }
    return expiring;
  }

  function isUsable(permit: Permit, born: number | undefined, nowMs = now()): boolean {
    if (born === undefined || !permit.allowed) return false;
    return isFresh(permit, born, TICKET_MARGIN_MS, nowMs);
  }

  return {
    requestMissing: (requests) => {
      queue = prepareQueries(requests);
      dispatchQueued();
    },
    requestFirst: (requests) => {
      if (queue.length > 0) return;
      queue = prepareQueries(requests.filter(({ step }) => !steps.has(step)));
      dispatchQueued();
    },
    ticket: (step, worker, born) => {
      const permit = steps.get(step)?.permits.get(worker);
      return permit !== undefined && isUsable(permit, born) ? permit.ticket : undefined;
    },
    isKnown: (step) => (steps.get(step)?.permits.size ?? 0) > 0,
    startable: (step, workers, bornOf) => {
      const known = steps.get(step)?.permits;
      if (known === undefined) return [];
      const nowMs = now();
      return workers.filter((worker) => {
        const permit = known.get(worker.id);
        return permit?.allowed === true && isUsable(permit, bornOf(worker), nowMs);
      });
    },
    runnable: (step, workers) => {
      const known = steps.get(step)?.permits;
      return workers.filter(({ id }) => known?.get(id)?.allowed === true);
    },
    invalidate: (step, worker) => {
      const known = steps.get(step);
      const permit = known?.permits.get(worker);
      if (permit !== undefined) known?.permits.set(worker, { ...permit, validUntil: 0 });
    },
    forget: (step) => {
      steps.delete(step);
      queue = queue.filter((query) => query.step !== step);
    },
    dispatchQueued,
  };
}

function isLong({ expectedMs }: Query): boolean {
  return expectedMs > LONG_CALL_MS;
}

function estimateCallMs(timing: AdviceTiming, workers: number): number {
  return timing.decideMs + timing.perWorkerMs * workers;
}
