/**
 * Moves queued requests to workers: asks the scheduler for decisions, runs them, and retries work
 * that has certainly ended and may run again.
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

/** Starts that workers refused, for example because they were leaving, before giving up. */
const MAX_WORKER_REFUSALS = 5;
const EXPIRY_INTERVAL_MS = 50;

/** Runs before each start; false if the start must not be sent. */
export type StartHook = (placed: PlacedTask) => Promise<boolean>;

export interface Dispatcher {
  /** Queues a request and resolves with its outcome. */
  run(request: WorkRequest, beforeStart?: StartHook): Promise<Outcome>;
  /** Takes a request out of the queue; false if it is not queued. */
  cancel(team: string, id: string): boolean;
  /** Starts whatever fits. */
  dispatchQueued(): void;
  /** Empties the queue: moves interactive requests and gives jobs back with the refusal. */
  drain(move: (request: WorkRequest) => Promise<Outcome>, refused: RefusedOutcome): void;
  close(): void;
}

interface DispatcherOptions {
  readonly scheduler: Scheduler;
  readonly runner: TaskRunner;
  readonly retries: RetryBudget;
  readonly timeline: Timeline;
  readonly now: () => number;
  /** Cancelled requests are not tried again. */
  readonly isCancelled: (request: WorkRequest) => boolean;
  /** Called when a request left the queue and its task starts. */
  readonly onStarted: (request: WorkRequest) => void;
}

interface Waiting {
  readonly settle: (settlement: TaskEnd) => void;
  readonly beforeStart: StartHook | undefined;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { scheduler, runner, retries, timeline, now } = options;
  const waiting = new Map<string, Waiting>();
  let pumpScheduled = false;
  const expiry = setInterval(expire, EXPIRY_INTERVAL_MS);
  expiry.unref();

  async function run(request: WorkRequest, beforeStart?: StartHook): Promise<Outcome> {
    let current = request;
    let refusals = 0;
    /** What an attempt that ran has answered; the request must not be called refused after it. */
    let earlier: Outcome | undefined;
    for (;;) {
      const { outcome, ended } = await queueOnce(current, beforeStart);
      const mayRetry = ended && (request.class !== 'interactive' || now() < request.startBefore);
      if (outcome.kind === 'refused') {
        refusals += 1;
        const isTemporary = outcome.reason === 'worker-refused' && mayRetry;
        if (!isTemporary || refusals > MAX_WORKER_REFUSALS) return earlier ?? outcome;
      } else if (outcome.kind === 'done') {
        retries.recordSuccess();
        return outcome;
      } else {
        earlier = outcome.kind === 'failed' ? toDoneOutcome(outcome) : outcome;
        const isLast = options.isCancelled(current) || !mayRetry || !canRunAgain(current);
        if (isLast || !retries.take()) return earlier;
      }
      current = nextAttempt(current, now());
    }
  }

  function queueOnce(request: WorkRequest, beforeStart?: StartHook): Promise<TaskEnd> {
    const queued = scheduler.enqueue(request);
    if (queued.isErr()) return Promise.resolve(endRefused(queued.error));
    timeline.record({ kind: 'queued', request: request.id, team: request.team });
    return new Promise((resolve) => {
      waiting.set(keyOf(request), { settle: resolve, beforeStart });
      pump();
    });
  }

  /** Decisions are made once per turn of the event loop, for all requests that arrived in it. */
  function pump(): void {
    if (pumpScheduled) return;
    pumpScheduled = true;
    setImmediate(() => {
      pumpScheduled = false;
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
    const entry = take(placed.request);
    options.onStarted(placed.request);
    const allowed = entry?.beforeStart === undefined || (await entry.beforeStart(placed));
    const settlement = allowed ? await runner.run(placed) : abandon(placed);
    entry?.settle(settlement);
    pump();
  }

  function abandon(placed: PlacedTask): TaskEnd {
    scheduler.finished(taskIdOf(placed.request, placed.index), placed.worker);
    return endRefused(
      refuse('store-unavailable', 'The start could not be recorded; it is tried again.'),
    );
  }

  function expire(): void {
    for (const request of scheduler.expire()) {
      settleQueued(
        request,
        refuse(
          'deadline-passed',
          'The request waited until its deadline and did not start; send it again with a longer deadline or at a quieter time.',
        ),
      );
    }
  }

  function settleQueued(request: WorkRequest, refused: RefusedOutcome): void {
    timeline.record({
      kind: 'refused',
      request: request.id,
      team: request.team,
      detail: refused.reason,
    });
    take(request)?.settle(endRefused(refused));
  }

  function take(request: Pick<WorkRequest, 'team' | 'id'>): Waiting | undefined {
    const key = keyOf(request);
    const entry = waiting.get(key);
    waiting.delete(key);
    return entry;
  }

  return {
    run,
    dispatchQueued: pump,
    cancel: (team, id) => {
      if (!scheduler.cancel(team, id)) return false;
      const detail = 'The request was cancelled before it started.';
      take({ team, id })?.settle(endRefused(refuse('cancelled', detail)));
      return true;
    },
    drain: (move, refused) => {
      for (const request of scheduler.drain()) {
        const entry = take(request);
        if (request.class === 'interactive') {
          void move(request).then((outcome) => entry?.settle({ outcome, ended: false }));
        } else {
          entry?.settle(endRefused(refused));
        }
      }
    },
    close: () => {
      clearInterval(expiry);
    },
  };
}

/** A job gets its whole waiting time again; someone waits for an interactive request. */
function nextAttempt(request: WorkRequest, now: number): WorkRequest {
  const attempt = (request.attempt ?? 0) + 1;
  if (request.class === 'interactive') return { ...request, attempt };
  const waitMs = request.startBefore - request.submittedAt;
  return { ...request, attempt, submittedAt: now, startBefore: now + waitMs };
}

function canRunAgain(request: WorkRequest): boolean {
  return request.idempotent && (request.attempt ?? 0) + 1 < request.maxAttempts;
}

function endRefused(refused: RefusedOutcome): TaskEnd {
  return { outcome: refused, ended: true };
}

function keyOf(request: Pick<WorkRequest, 'team' | 'id'>): string {
  return `${request.team}/${request.id}`;
}

/** A failing task ran and answered; its caller gets the complete answer with its status. */
export function toDoneOutcome(failed: FailedOutcome): DoneOutcome {
  return { ...failed, kind: 'done' };
}
