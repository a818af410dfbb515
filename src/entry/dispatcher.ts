/**
 * Starts queued requests on workers: asks the scheduler for decisions, carries them out, and retries
 * requests whose last attempt has certainly ended and that may run again.
 */
import {
  refuse,
  taskIdOf,
  type DoneOutcome,
  type Outcome,
  type RefusedOutcome,
  type WorkRequest,
} from '../model/index.js';
import type { Scheduler } from '../scheduling/index.js';
import type { Timeline } from '../timeline/index.js';
import type { FailedOutcome } from '../workers/index.js';
import type { RetryBudget } from './retry-budget.js';
import type { PlacedTask, TaskEnd, TaskRunner } from './task-runner.js';

/** Refused starts that are retried before the refusal is final; leaving workers refuse starts. */
const MAX_WORKER_REFUSALS = 5;
const EXPIRY_INTERVAL_MS = 50;

/** Runs before each start; false if the start must not be sent. */
export type StartHook = (placed: PlacedTask) => Promise<boolean>;

export interface Dispatcher {
  /** Queues a request and resolves with its outcome. */
  run(request: WorkRequest, beforeStart?: StartHook): Promise<Outcome>;
  /** Takes a request out of the queue; false if it is not queued. */
  cancel(team: string, id: string): boolean;
  /** Starts all queued requests that fit, in the next turn of the event loop. */
  dispatchQueued(): void;
  /** Empties the queue: reroutes interactive requests and ends the attempts of jobs with the refusal. */
  drain(reroute: (request: WorkRequest) => Promise<Outcome>, refused: RefusedOutcome): void;
  close(): void;
}

interface DispatcherOptions {
  readonly scheduler: Scheduler;
  readonly runner: TaskRunner;
  readonly retryBudget: RetryBudget;
  readonly timeline: Timeline;
  readonly now: () => number;
  /** Cancelled requests are not retried. */
  readonly isCancelled: (request: WorkRequest) => boolean;
  /** Called when a request has left the queue and its task starts. */
  readonly onStarted: (request: WorkRequest) => void;
}

interface PendingRequest {
  readonly settle: (end: TaskEnd) => void;
  readonly beforeStart: StartHook | undefined;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { scheduler, runner, retryBudget, timeline, now } = options;
  const pendingRequests = new Map<string, PendingRequest>();
  let dispatchScheduled = false;
  const expiry = setInterval(expire, EXPIRY_INTERVAL_MS);
  expiry.unref();

  async function run(request: WorkRequest, beforeStart?: StartHook): Promise<Outcome> {
    let current = request;
    let refusals = 0;
    /** Outcome of the last attempt that may have run; a request with one must not end as refused. */
    let earlierOutcome: Outcome | undefined;
    for (;;) {
      const { outcome, ended } = await queueOnce(current, beforeStart);
      const mayRetry = ended && (request.class !== 'interactive' || now() < request.startBefore);
      if (outcome.kind === 'refused') {
        refusals += 1;
        const isTemporary = outcome.reason === 'worker-refused' && mayRetry;
        if (!isTemporary || refusals > MAX_WORKER_REFUSALS) return earlierOutcome ?? outcome;
      } else if (outcome.kind === 'done') {
        retryBudget.recordSuccess();
        return outcome;
      } else {
        earlierOutcome = outcome.kind === 'failed' ? toDoneOutcome(outcome) : outcome;
        const isLast = options.isCancelled(current) || !mayRetry || !canRunAgain(current);
        if (isLast || !retryBudget.take()) return earlierOutcome;
      }
      current = nextAttempt(current, now());
    }
  }

  function queueOnce(request: WorkRequest, beforeStart?: StartHook): Promise<TaskEnd> {
    const queued = scheduler.enqueue(request);
    if (queued.isErr()) return Promise.resolve(toRefusedEnd(queued.error));
    timeline.record({ kind: 'queued', request: request.id, team: request.team });
    return new Promise((resolve) => {
      pendingRequests.set(requestKeyOf(request), { settle: resolve, beforeStart });
      dispatchQueued();
    });
  }

  /** Decisions are made once per turn of the event loop, for all requests that arrived in it. */
  function dispatchQueued(): void {
    if (dispatchScheduled) return;
    dispatchScheduled = true;
    setImmediate(() => {
      dispatchScheduled = false;
      for (let decision = scheduler.next(); decision; decision = scheduler.next()) {
        void start({
          request: decision.request,
          index: decision.index,
          worker: decision.worker,
        });
      }
    });
  }

  async function start(placed: PlacedTask): Promise<void> {
    const pending = takePending(placed.request);
    options.onStarted(placed.request);
    const allowed = pending?.beforeStart === undefined || (await pending.beforeStart(placed));
    const end = allowed ? await runner.run(placed) : abandonStart(placed);
    pending?.settle(end);
    dispatchQueued();
  }

  function abandonStart(placed: PlacedTask): TaskEnd {
    scheduler.finished(taskIdOf(placed.request, placed.index), placed.worker);
    return toRefusedEnd(
      refuse('store-unavailable', 'The start could not be recorded; it is tried again.'),
    );
  }

  function expire(): void {
    for (const request of scheduler.expire()) {
      refuseQueued(
        request,
        refuse(
          'deadline-passed',
          'The request waited until its deadline and did not start; send it again with a longer deadline or at a quieter time.',
        ),
      );
    }
  }

  function refuseQueued(request: WorkRequest, refused: RefusedOutcome): void {
    timeline.record({
      kind: 'refused',
      request: request.id,
      team: request.team,
      detail: refused.reason,
    });
    takePending(request)?.settle(toRefusedEnd(refused));
  }

  function takePending(request: Pick<WorkRequest, 'team' | 'id'>): PendingRequest | undefined {
    const key = requestKeyOf(request);
    const pending = pendingRequests.get(key);
    pendingRequests.delete(key);
    return pending;
  }

  return {
    run,
    dispatchQueued,
    cancel: (team, id) => {
      if (!scheduler.cancel(team, id)) return false;
      const detail = 'The request was cancelled before it started.';
      takePending({ team, id })?.settle(toRefusedEnd(refuse('cancelled', detail)));
      return true;
    },
    drain: (reroute, refused) => {
      for (const request of scheduler.drain()) {
        const pending = takePending(request);
        if (request.class === 'interactive') {
          void reroute(request).then((outcome) => pending?.settle({ outcome, ended: false }));
        } else {
          pending?.settle(toRefusedEnd(refused));
        }
      }
    },
    close: () => {
      clearInterval(expiry);
    },
  };
}

/** A job gets its full queueing time again; an interactive request keeps its deadline, as its caller waits. */
function nextAttempt(request: WorkRequest, now: number): WorkRequest {
  const attempt = (request.attempt ?? 0) + 1;
  if (request.class === 'interactive') return { ...request, attempt };
  const waitMs = request.startBefore - request.submittedAt;
  return { ...request, attempt, submittedAt: now, startBefore: now + waitMs };
}

function canRunAgain(request: WorkRequest): boolean {
  return request.idempotent && (request.attempt ?? 0) + 1 < request.maxAttempts;
}

function toRefusedEnd(refused: RefusedOutcome): TaskEnd {
  return { outcome: refused, ended: true };
}

function requestKeyOf(request: Pick<WorkRequest, 'team' | 'id'>): string {
  return `${request.team}/${request.id}`;
}

/** A failed task has run and answered; the caller gets the complete answer with its status. */
export function toDoneOutcome(failed: FailedOutcome): DoneOutcome {
  return { ...failed, kind: 'done' };
}
