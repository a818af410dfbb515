/**
 * Sends start and stop orders to one incarnation of a worker and tracks their outcome. A start is sent again once if its
 * answer was lost, a stop until it is answered.
 */
import type { OrderOutcome, OrderRefusal, StartOrder, WorkerConnection } from '../fleet/index.js';
import type { RunEnd, WorkerIncarnation } from '../jobs/index.js';
import { createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import { pause } from '../records/index.js';
import type { AnswerOrigin, LeaseClock } from './lease-clock.js';
import { LATE_ORDER_MS } from './run.js';
import type { Run, RunStatus } from './run.js';

/** A start must reach the worker within this time; a later one is refused there. */
const START_WINDOW_MS = 2000;
const STOP_RETRY_MS = 200;
/** A worker that has not answered a start for this long is given no new work; workers answer within 3 ms. */
const OVERDUE_START_MS = 200;

export interface WorkerOrders {
  readonly start: (run: Run, spec: string, ticket: string | undefined) => Promise<void>;
  readonly stop: (run: Run, reason: string) => void;
  /** Continues with a run that was ordered from an earlier incarnation. */
  readonly resume: (run: Run) => void;
  /** Whether a start is waiting for its answer. */
  readonly isStarting: boolean;
  /** Whether the worker has left a start unanswered for so long that it should get no new work. */
  hasOverdueStart(): boolean;
}

export interface WorkerOrdersOptions {
  readonly worker: WorkerIncarnation;
  readonly epoch: number;
  /** Runs that the leader has on this worker, by task. */
  readonly runs: ReadonlyMap<string, Run>;
  /** The present connection, which changes with the worker's address. */
  readonly connection: () => WorkerConnection;
  readonly clock: LeaseClock;
  /** Whether the session is open and the incarnation has not ended. */
  readonly isOpen: () => boolean;
  /** Called when a start got no answer, which may be carried out until the given monotonic time. */
  readonly onUnansweredStart: (underWayUntil: number) => void;
  /** Called before a start is sent. */
  readonly onStart: () => void;
  /** Removes a run whose end is certain; resolves to whether the end is durable. */
  readonly endRun: (run: Run, end: RunEnd, checkpoint: string) => Promise<boolean>;
  /** Called when another incarnation answers at the worker's address. */
  readonly onOtherIncarnation: () => void;
  /** Called when a start was answered and the clock in the answer is not certainly that of this incarnation. */
  readonly onUncertainAnswer: () => void;
  /** Called when the clock in an answer shows that a later incarnation has given it. */
  readonly onLaterIncarnation: () => void;
  /** The token that calls to the worker carry at present. */
  readonly fencingToken: () => number;
  /** Called when the worker has seen a later token than the one that an order carried. */
  readonly onFenced: (token: number) => void;
  /** Called when the worker has refused the ticket of a start. */
  readonly onTicketRefused: (run: Run) => void;
  /** Time for which a start without an answer may still be carried out. */
  readonly lateOrderMs?: number;
  /** Time in milliseconds during which this process was able to receive answers; see `responsive-clock.ts`. */
  readonly responsiveNow: () => number;
  /** Milliseconds within which an order that is sent now has to reach the worker; 0 if none may be sent. */
  readonly startWindowMs: () => number;
  readonly events: EventLog;
  readonly meters: Meters;
}

type OutcomeName = Exclude<OrderOutcome['kind'], 'refused'> | OrderRefusal;

export function createWorkerOrders(options: WorkerOrdersOptions): WorkerOrders {
  const { worker, epoch, runs, clock, events, meters, lateOrderMs = LATE_ORDER_MS } = options;
  const faults = createFaultContainment({ events, meters });
  /** Starts that are not answered yet, with the time on the responsive clock at which they were sent. */
  const pendingStarts = new Map<Run, number>();

  function hasOverdueStart(): boolean {
    const [oldest] = pendingStarts.values();
    return oldest !== undefined && options.responsiveNow() - oldest > OVERDUE_START_MS;
  }

  async function start(run: Run, spec: string, ticket: string | undefined): Promise<void> {
    // What the order rests on may be outdated by the time it gets through, and the worker refuses it then.
    const startBeforeMs = clock.now() + Math.min(START_WINDOW_MS, options.startWindowMs());
    clock.extend(startBeforeMs);
    run.status = 'starting';
    options.onStart();
    run.since = performance.now();
    run.startedAt = run.since;
    run.progressedAt = run.since;
    pendingStarts.set(run, options.responsiveNow());
    const order: StartOrder = {
      task: run.name,
      run: run.number,
      spec,
      startBeforeMs,
      fencingToken: options.fencingToken(),
      checkpoint: run.task.checkpoint,
      ticket,
    };
    let outcome = await sendStart(run, order, { ticketed: ticket !== undefined });
    const isOpen = options.isOpen() && runs.get(run.name) === run;
    if (outcome.kind === 'unknown' && isOpen && transition(run, 'starting', 'in-doubt')) {
      // The worker may have been leaving for a while by now; its reports tell whether it has the run.
      if (options.startWindowMs() > 0) outcome = await repeatStart(run, order);
    }
    pendingStarts.delete(run);
    if (runs.get(run.name) !== run) return;
    if (outcome.kind === 'accepted') {
      run.answeredMs = performance.now() - run.startedAt;
      if (run.lateStartUntil === -Infinity) run.startedClockMs = outcome.clockMs;
      run.progressedClockMs ??= outcome.clockMs;
      transition(run, 'starting', 'running');
      transition(run, 'in-doubt', 'running');
      return;
    }
    if (outcome.kind === 'other-incarnation') {
      options.onOtherIncarnation();
      return;
    }
    if (outcome.kind === 'unknown') return;
    // A refused start has extended the lease, too.
    if (outcome.reason === 'fenced') options.onFenced(order.fencingToken);
    if (outcome.reason === 'no-permit') options.onTicketRefused(run);
    await options.endRun(run, 'never-ran', '');
  }

  async function sendStart(
    run: Run,
    order: StartOrder,
    fields: Readonly<Record<string, unknown>>,
  ): Promise<OrderOutcome> {
    const originOf = clock.trackCall();
    const outcome = await options.connection().start(order);
    logOrder('start', run, countOutcome('start', outcome), fields);
    const origin = noteClock('start', run, outcome, originOf);
    if (origin === 'own') run.confirmedByClock ||= runs.get(run.name) === run;
    else if (origin !== undefined) options.onUncertainAnswer();
    if (outcome.kind === 'unknown') {
      run.lateStartUntil = performance.now() + lateOrderMs;
      options.onUnansweredStart(run.lateStartUntil);
    }
    return outcome;
  }

  /**
   * Sends a start again whose answer was lost. The worker accepts it also if it has the run already, so one lost answer
   * does not end a whole gang. Any other answer leaves the run in doubt, because the first order may still arrive or
   * the run may have ended; the reports of the worker decide.
   */
  async function repeatStart(run: Run, order: StartOrder): Promise<OrderOutcome> {
    const outcome = await sendStart(run, order, { repeated: true });
    if (outcome.kind !== 'refused') return outcome;
    if (outcome.reason === 'fenced') options.onFenced(order.fencingToken);
    return { kind: 'unknown', detail: `then refused: ${outcome.reason}` };
  }

  function stop(run: Run, reason: string) {
    if (run.status === 'stopping' || runs.get(run.name) !== run) return;
    const ordered = run.status !== 'logging';
    run.status = 'stopping';
    run.since = performance.now();
    run.stopReason = reason;
    events.info('stop-decided', {
      job: run.progress.job.id,
      task: run.name,
      run: run.number,
      worker: worker.id,
      reason,
      percent: run.percent,
    });
    if (ordered) faults.keepRunning('send stops', () => sendStop(run));
    // The dispatcher withdraws an order that is not sent yet when it sees the status.
  }

  function resume(run: Run) {
    if (run.status !== 'stopping') {
      run.status = 'in-doubt';
      return;
    }
    run.stopAnsweredAt = undefined;
    faults.keepRunning('send stops', () => sendStop(run));
  }

  async function sendStop(run: Run) {
    let logged: OutcomeName | undefined;
    while (options.isOpen() && runs.get(run.name) === run && run.stopAnsweredAt === undefined) {
      const fencingToken = options.fencingToken();
      const originOf = clock.trackCall();
      const outcome = await options
        .connection()
        .stop({ task: run.name, run: run.number, fencingToken });
      noteClock('stop', run, outcome, originOf);
      // A stop is repeated up to five times a second, for as long as the lease of a silent worker lasts.
      const result = countOutcome('stop', outcome);
      if (result !== logged) logOrder('stop', run, result, { reason: run.stopReason });
      logged = result;
      if (outcome.kind === 'accepted') {
        run.stopAnsweredAt = performance.now();
        return;
      }
      if (outcome.kind === 'other-incarnation') {
        options.onOtherIncarnation();
        return;
      }
      if (outcome.kind === 'refused' && outcome.reason === 'fenced') options.onFenced(fencingToken);
      await pause(STOP_RETRY_MS);
    }
  }

  /** Applies the clock in an answer and returns which incarnation has given it; undefined if there is no clock. */
  function noteClock(
    order: 'start' | 'stop',
    run: Run,
    outcome: OrderOutcome,
    originOf: (workerMs: number) => AnswerOrigin,
  ): AnswerOrigin | undefined {
    if (outcome.kind !== 'accepted' && outcome.kind !== 'refused') return undefined;
    const { clockMs } = outcome;
    if (clockMs === undefined) return undefined;
    const origin = originOf(clockMs);
    if (origin !== 'later') {
      clock.note(clockMs);
      return origin;
    }
    events.warn('answered-by-later-incarnation', {
      job: run.progress.job.id,
      task: run.name,
      run: run.number,
      worker: worker.id,
      born: worker.born,
      epoch,
      order,
      outcome: outcome.kind,
      clockMs,
      expectedClockMs: Math.round(clock.now()),
    });
    options.onLaterIncarnation();
    return origin;
  }

  /** Changes the status unless a stop, for instance, has changed it in the meantime; returns whether it did. */
  function transition(run: Run, from: RunStatus, to: RunStatus): boolean {
    if (run.status !== from) return false;
    run.status = to;
    run.since = performance.now();
    return true;
  }

  /** Counts the outcome of an order and returns its name. */
  function countOutcome(order: 'start' | 'stop', outcome: OrderOutcome): OutcomeName {
    const result = outcome.kind === 'refused' ? outcome.reason : outcome.kind;
    meters.orders.inc({ order, outcome: result });
    return result;
  }

  function logOrder(
    order: 'start' | 'stop',
    run: Run,
    outcome: OutcomeName,
    fields: Readonly<Record<string, unknown>>,
  ) {
    const line = {
      job: run.progress.job.id,
      task: run.name,
      run: run.number,
      worker: worker.id,
      born: worker.born,
      epoch,
      outcome,
      ...fields,
    };
    // Nearly every order is accepted; the end of the run then tells how long the answer took.
    if (outcome === 'accepted') events.debug(`${order}-answered`, line);
    else events.warn(`${order}-not-accepted`, line);
  }

  return {
    start,
    stop,
    resume,
    get isStarting() {
      return pendingStarts.size > 0;
    },
    hasOverdueStart,
  };
}
