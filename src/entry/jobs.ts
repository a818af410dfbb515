/**
 * Coordinates jobs: batch work, gangs and services. A job is recorded in the store before it is accepted, and
 * each start is recorded before it is sent, so that the host that adopts the job after a failure
 * can find its tasks instead of starting them again.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { SubmissionResult } from '../callers/index.js';
import type { JobRecord, Journal } from '../journal/index.js';
import type { Log } from '../log/index.js';
import { refuse, unknownOutcome, type Outcome, type WorkRequest } from '../model/index.js';
import type { StoreError } from '../platform/index.js';
import type { RequestTable } from '../requests/index.js';
import type { Timeline } from '../timeline/index.js';
import type { Dispatcher, StartHook } from './dispatcher.js';
import { refuseNoCapacity, type ForwardResult, type RequestForwarder } from './forwarding.js';
import type { GangTask, GangCoordinator } from './gangs.js';
import type { Router } from './routing.js';
import type { JobLookupResult, TaskLookup } from './task-lookup.js';

const STORE_RETRY_MS = 1000;
const REQUEUE_MS = 250;

/** Refusals after which an accepted job is retried after a pause instead of ending. */
const TRANSIENT_REASONS = new Set([
  'queue-full',
  'store-unavailable',
  'worker-refused',
  'no-capacity',
]);

export interface JobCoordinator {
  /** Accepts a job here or at the host that suits it best. */
  submit(request: WorkRequest): Promise<SubmissionResult>;
  /** Accepts a job on this host. */
  accept(request: WorkRequest): Promise<SubmissionResult>;
  /** Continues jobs that were adopted from a dead or leaving host. */
  resume(records: readonly JobRecord[]): void;
  /** Cancels a queued job; false if it runs already or is not coordinated here. */
  cancel(team: string, id: string): boolean;
  /** Stops coordinating jobs that another host has adopted while this one counted as dead. */
  abandon(records: readonly JobRecord[]): void;
  /** Jobs that this host coordinates at present. */
  active(): number;
}

interface JobCoordinatorOptions {
  readonly hostId: string;
  readonly journal: Journal;
  readonly dispatcher: Dispatcher;
  readonly gangs: GangCoordinator;
  readonly router: Router;
  readonly forwarder: RequestForwarder;
  readonly table: RequestTable;
  readonly lookup: TaskLookup;
  readonly timeline: Timeline;
  readonly bootIdOf: (worker: string) => string;
  /** Whether this host holds a worker that takes new tasks. */
  readonly hasWorkers: () => boolean;
  readonly cancelled: Set<string>;
  readonly signal: AbortSignal;
  readonly log: Log;
}

type RunLookupResult = Extract<JobLookupResult, { readonly kind: 'run' }>;

export function createJobCoordinator(options: JobCoordinatorOptions): JobCoordinator {
  const { journal, dispatcher, gangs, router, forwarder, table, signal, log } = options;
  const active = new Map<string, JobRecord>();
  const abandoned = new Set<string>();

  async function submit(
    request: WorkRequest,
    excluded: ReadonlySet<string> = new Set(),
  ): Promise<SubmissionResult> {
    const route = router.route(request, excluded);
    if (route.kind === 'none') return { kind: 'outcome', outcome: refuseNoCapacity() };
    if (route.kind === 'local') return accept(request);
    const forwarded = await forwarder.forward(route.host, {
      stage: 'place',
      request: { ...request, hops: [...request.hops, options.hostId] },
    });
    if (forwarded.kind === 'not-sent' || isRefusedAsLeaving(forwarded)) {
      return submit(request, new Set([...excluded, route.host]));
    }
    if (forwarded.kind === 'outcome') return forwarded;
    table.add(request);
    const outcome = forwarder
      .awaitOutcome(forwarded.host, request.team, request.id)
      .then((ended) => recordEnd(request, ended));
    return { kind: 'accepted', outcome };
  }

  async function accept(request: WorkRequest): Promise<SubmissionResult> {
    if (signal.aborted) return { kind: 'outcome', outcome: refuseLeaving() };
    const recorded = await journal.accept(request);
    if (recorded.isErr()) return { kind: 'outcome', outcome: describeStoreFailure(recorded.error) };
    table.add(request);
    options.timeline.record({ kind: 'accepted', request: request.id, team: request.team });
    return { kind: 'accepted', outcome: coordinate({ request, state: 'queued', tasks: [] }) };
  }

  function resume(records: readonly JobRecord[]): void {
    for (const record of records) {
      const { request, outcome } = record;
      table.add(request);
      if (record.state === 'ended' && outcome !== undefined) {
        table.end(request.team, request.id, outcome);
      } else {
        log.info('Adopted a job.', { request: request.id });
        options.timeline.record({ kind: 'adopted', request: request.id, team: request.team });
        void coordinate(record);
      }
    }
  }

  /** Runs a job to its end; if this fails, its record remains for another host to adopt. */
  async function coordinate(record: JobRecord): Promise<Outcome> {
    const { request } = record;
    const key = requestKeyOf(request);
    active.set(key, record);
    try {
      const lookupResult = await options.lookup.lookUpJob(record);
      const outcome =
        lookupResult.kind === 'run' ? await runFromLookup(lookupResult) : lookupResult.outcome;
      if (isHandedOver(request, outcome))
        return await forwarder.awaitOutcomeAnywhere(request.team, request.id);
      journal.ended(request.team, request.id, outcome);
      return recordEnd(request, outcome);
    } finally {
      active.delete(key);
      options.cancelled.delete(key);
      abandoned.delete(key);
    }
  }

  /** A job that may have run before its coordinator died is not refused, even if it never starts again. */
  async function runFromLookup({ request, mayHaveRun }: RunLookupResult): Promise<Outcome> {
    const outcome = await runToEnd(request);
    if (!mayHaveRun || outcome.kind !== 'refused' || isHandedOver(request, outcome)) return outcome;
    return unknownOutcome(`An earlier attempt may have run. ${outcome.detail}`);
  }

  async function runToEnd(request: WorkRequest): Promise<Outcome> {
    let current = request;
    while (!signal.aborted) {
      if (abandoned.has(requestKeyOf(request))) break;
      if (options.cancelled.has(requestKeyOf(request))) return refuseCancelled();
      const outcome = await runOnce(current);
      if (outcome.kind !== 'refused' || !TRANSIENT_REASONS.has(outcome.reason)) return outcome;
      current = { ...current, attempt: (current.attempt ?? 0) + 1 };
      await pause(REQUEUE_MS);
    }
    return refuseLeaving();
  }

  function runOnce(request: WorkRequest): Promise<Outcome> {
    // A host without workers starts its jobs on workers of its peers, as it does for gangs.
    if (request.class === 'gang' || !options.hasWorkers()) {
      return gangs.run(request, (tasks) => recordStarts(request, tasks));
    }
    return dispatcher.run(request, recordStart);
  }

  const recordStart: StartHook = async ({ request, index, worker }) => {
    const start = {
      index,
      worker,
      bootId: options.bootIdOf(worker),
      attempt: request.attempt ?? 0,
    };
    const recorded = await journal.started(request.team, request.id, start);
    if (recorded.isOk()) return true;
    log.warn('A start could not be recorded in the store; it will be retried.', {
      request: request.id,
    });
    await pause(STORE_RETRY_MS);
    return false;
  };

  async function recordStarts(request: WorkRequest, tasks: readonly GangTask[]): Promise<boolean> {
    const attempt = request.attempt ?? 0;
    const recorded = await Promise.all(
      tasks.map(({ index, worker, bootId }) =>
        journal.started(request.team, request.id, { index, worker, bootId, attempt }),
      ),
    );
    const complete = recorded.every((result) => result.isOk());
    if (complete) table.setState(request.team, request.id, 'running');
    return complete;
  }

  /** Marks the job, so that it is neither started nor retried; true if it was still queued. */
  function cancel(team: string, id: string): boolean {
    const key = requestKeyOf({ team, id });
    if (!active.has(key)) return false;
    options.cancelled.add(key);
    return dispatcher.cancel(team, id) || table.get(team, id)?.state === 'queued';
  }

  /** Whether another host continues the job, because this one shuts down or counted as dead. */
  function isHandedOver(request: WorkRequest, outcome: Outcome): boolean {
    return (
      signal.aborted ||
      abandoned.has(requestKeyOf(request)) ||
      (outcome.kind === 'refused' && outcome.reason === 'shutting-down')
    );
  }

  function recordEnd(request: WorkRequest, outcome: Outcome): Outcome {
    table.end(request.team, request.id, outcome);
    return outcome;
  }

  async function pause(ms: number): Promise<void> {
    await delay(ms, undefined, { ref: false, signal }).catch(() => undefined);
  }

  function abandon(records: readonly JobRecord[]): void {
    for (const { request } of records) {
      if (!active.has(requestKeyOf(request))) continue;
      abandoned.add(requestKeyOf(request));
      dispatcher.cancel(request.team, request.id);
    }
  }

  return { submit, accept, resume, cancel, abandon, active: () => active.size };
}

export function requestKeyOf({ team, id }: { readonly team: string; readonly id: string }): string {
  return `${team}/${id}`;
}

function refuseLeaving(): Outcome {
  return refuse('shutting-down', 'This host is leaving; another host takes the job.');
}

function isRefusedAsLeaving(forwarded: ForwardResult): boolean {
  return (
    forwarded.kind === 'outcome' &&
    forwarded.outcome.kind === 'refused' &&
    forwarded.outcome.reason === 'shutting-down'
  );
}

function refuseCancelled(): Outcome {
  return refuse('cancelled', 'The job was cancelled before it started.');
}

function describeStoreFailure(error: StoreError): Outcome {
  if (error.kind === 'in-doubt') {
    return unknownOutcome(
      'The job may have been recorded; ask for its status once the store answers.',
    );
  }
  return refuse(
    'store-unavailable',
    'The job could not be recorded, so it was not accepted; try again.',
    STORE_RETRY_MS,
  );
}
