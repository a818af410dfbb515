/**
 * The leader's session with one incarnation of a worker: renews its lease, collects the ends of runs and decides when a
 * run has certainly ended.
 *
 * A worker that does not answer may continue until its lease expires on its own clock, which may run 2 % slow. Until
 * then its runs stay charged and are not started elsewhere.
 */
import type { WorkerConnection } from '../fleet/index.js';
import { addResources, NO_RESOURCES, subtractResources } from '../model/index.js';
import type { Resources } from '../model/index.js';
import { pause } from '../records/index.js';
import { createLeaseClock } from './lease-clock.js';
import { stallTimeoutMs } from './run.js';
import type { Run, RunEnd } from './run.js';
import { createWorkerOrders } from './worker-orders.js';
import { createWorkerReports } from './worker-reports.js';
import type { WorkerSessionOptions, WorkerSession } from './worker-session-types.js';

/**
 * Long enough, with a renewal every second, for the usual network partition of 5 to 6 s and for the election of a new
 * leader. The runs of a dead worker restart elsewhere only after the lease has expired.
 */
export const LEASE_MS = 8000;
/** Time that a renewal waits at the worker for the end of a run; less than a sixth of the lease. */
const RENEWAL_WAIT_MS = 900;
/** Least interval between renewals after one that failed. */
const RETRY_MS = 150;
/** Time that a renewal waits while the effect of a start or stop is uncertain, so that the next report comes soon. */
const UNCERTAIN_WAIT_MS = 100;
/**
 * Least interval between renewals, which are answered at once while runs end. Members of a gang and tasks of a step end
 * within milliseconds of each other, and one answer then reports them all.
 */
const MIN_PAUSE_MS = 20;
/**
 * Least interval between renewals while ends are not durable. A worker answers at once as long as it has ends that are
 * not acknowledged.
 */
const UNACKNOWLEDGED_PAUSE_MS = 120;
/** Consecutive unanswered renewals after which a worker is given no new work. */
const MAX_SILENT_RENEWALS = 1;

/** Connection of a worker without a known address. */
const UNREACHABLE_OUTCOME = { kind: 'refused', reason: 'unreachable', clockMs: undefined } as const;
const UNREACHABLE_CONNECTION: WorkerConnection = {
  start: () => Promise.resolve(UNREACHABLE_OUTCOME),
  stop: () => Promise.resolve(UNREACHABLE_OUTCOME),
  renew: () => Promise.resolve(UNREACHABLE_OUTCOME),
  close: () => undefined,
};

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
  const { events, meters, epoch } = options;
  const incarnation = options.worker.incarnation;
  const runs = new Map<string, Run>();
  let worker = options.worker;
  let connection = connectTo(worker.address);
  let used: Resources = NO_RESOURCES;
  let confirmed = false;
  let silentRenewals = 0;
  let closed = false;
  let ended = false;
  const clock = createLeaseClock({
    inheritedLeaseUntil: options.inheritedLeaseUntil,
    isConfirmed: () => confirmed,
  });
  let wake: () => void = () => undefined;
  const orders = createWorkerOrders({
    worker: incarnation.id,
    epoch,
    runs,
    connection: () => connection,
    clock,
    isOpen: () => !closed && !ended,
    onStart: () => {
      wake();
    },
    endRun,
    onOtherIncarnation: () => {
      endIncarnation('another incarnation answers at its address');
    },
    onStaleEpoch: () => {
      options.onStaleEpoch(incarnation.id);
    },
    onTicketRefused: options.onTicketRefused,
    responsiveNow: options.responsiveNow,
    events,
    meters,
  });
  const reports = createWorkerReports({
    worker: incarnation.id,
    epoch,
    runs,
    endRun,
    stop: orders.stop,
    stopForeign: (task, run) => {
      void connection.stop({ task, run, epoch });
    },
    onReport: (clockMs) => {
      options.onReport(session, clockMs);
    },
    onChange: options.onChange,
    events,
  });

  const session: WorkerSession = {
    incarnation,
    get worker() {
      return worker;
    },
    update: (next) => {
      if (next.address !== worker.address) {
        connection.close();
        connection = connectTo(next.address);
      }
      worker = next;
    },
    runs,
    get used() {
      return used;
    },
    get confirmed() {
      return confirmed;
    },
    get reachable() {
      if (!confirmed || ended || reports.foreignRuns > 0) return false;
      return silentRenewals < MAX_SILENT_RENEWALS && !orders.hasOverdueStart();
    },
    get ended() {
      return ended;
    },
    get hasUnacknowledged() {
      return reports.hasUnacknowledged;
    },
    startRenewals: () => {
      void renewUntilClosed();
    },
    attach: (run) => {
      runs.set(run.name, run);
      used = addResources(used, run.size);
    },
    start: orders.start,
    stop: orders.stop,
    withdraw: (run) => {
      void endRun(run, 'never-ran', '');
    },
    end: (reason) => {
      endIncarnation(reason);
    },
    close: () => {
      closed = true;
      connection.close();
    },
  };

  /** An incarnation that is not listed has no address. */
  function connectTo(address: string): WorkerConnection {
    return address === '' ? UNREACHABLE_CONNECTION : options.connect(address, incarnation);
  }

  /** Removes a run whose end is certain and reports the end to the controller. */
  function endRun(run: Run, end: RunEnd, checkpoint: string): Promise<boolean> {
    if (runs.get(run.name) !== run) return Promise.resolve(true);
    runs.delete(run.name);
    used = runs.size === 0 ? NO_RESOURCES : subtractResources(used, run.size);
    meters.taskEnds.inc({ how: end });
    events.info('run-ended', {
      job: run.progress.job.id,
      task: run.name,
      run: run.number,
      worker: incarnation.id,
      end,
      epoch,
      answeredMs: run.answeredMs === undefined ? undefined : Math.round(run.answeredMs),
      tookMs: Math.round(performance.now() - run.startedAt),
      percent: run.percent,
    });
    return options.onEnd(session, run, end, checkpoint);
  }

  function endIncarnation(reason: string) {
    if (ended) return;
    ended = true;
    events.warn('worker-life-ended', {
      worker: incarnation.id,
      born: incarnation.born,
      reason,
      runs: runs.size,
    });
    endAllRuns('lost');
    connection.close();
    options.onChange();
  }

  function endAllRuns(end: RunEnd) {
    for (const run of [...runs.values()]) {
      // The dispatcher withdraws an order that is not durable yet.
      if (run.status === 'logging') run.status = 'stopping';
      else void endRun(run, end, run.task.checkpoint);
    }
  }

  async function renewOnce(): Promise<boolean> {
    const requestedAt = performance.now();
    const until = clock.now() + LEASE_MS;
    // An unanswered extension may have reached the worker, so extending a silent worker's lease would postpone forever
    // the time at which it has certainly expired.
    const extend = confirmed && silentRenewals === 0 && options.mayExtendLeases();
    if (extend) clock.extend(until);
    const first = !confirmed;
    const outcome = await connection.renew({
      epoch,
      acknowledgedThrough: reports.acknowledgedThrough,
      leaseUntilMs: extend ? until : undefined,
      waitMs: first || (runs.size === 0 && reports.foreignRuns === 0) ? 0 : chooseWaitMs(),
    });
    if (closed || ended) return true;
    if (outcome.kind === 'report') {
      if (first) {
        // A previous leader may have granted a lease that ends as late as this.
        clock.extend(outcome.report.clockMs + LEASE_MS);
        events.info('worker-confirmed', {
          worker: incarnation.id,
          born: incarnation.born,
          epoch,
          running: outcome.report.running.length,
          ends: outcome.report.ended.length,
        });
      }
      if (silentRenewals >= MAX_SILENT_RENEWALS) {
        events.info('worker-regained', { worker: incarnation.id, silentRenewals });
      }
      const changed = first || silentRenewals > 0;
      confirmed = true;
      silentRenewals = 0;
      clock.note(outcome.report.clockMs);
      if (outcome.report.born !== undefined && outcome.report.born !== incarnation.born) {
        endIncarnation('the worker was started again under its id');
        return true;
      }
      await reports.apply(outcome.report, requestedAt);
      if (changed) options.onChange();
      return true;
    }
    if (outcome.kind === 'other-life') {
      endIncarnation('another incarnation answers at its address');
      return true;
    }
    if (outcome.kind === 'refused' && outcome.reason === 'stale-epoch') {
      options.onStaleEpoch(incarnation.id);
      return false;
    }
    silentRenewals += 1;
    if (silentRenewals === MAX_SILENT_RENEWALS) {
      events.warn('worker-silent', {
        worker: incarnation.id,
        outcome: outcome.kind === 'refused' ? outcome.reason : outcome.detail,
        runs: runs.size,
      });
    }
    return false;
  }

  /** Short while a run's state is uncertain, and no longer than until the next run could count as stalled. */
  function chooseWaitMs(): number {
    if (reports.foreignRuns > 0) return UNCERTAIN_WAIT_MS;
    const now = performance.now();
    let waitMs = RENEWAL_WAIT_MS;
    for (const run of runs.values()) {
      if (run.status === 'in-doubt' || run.status === 'stopping') return UNCERTAIN_WAIT_MS;
      waitMs = Math.min(waitMs, run.progressedAt + stallTimeoutMs(run) - now);
    }
    return Math.max(UNCERTAIN_WAIT_MS, waitMs);
  }

  /** Least time from the start of one renewal to the start of the next. */
  function choosePauseMs(answered: boolean, idle: boolean): number {
    if (!answered) return RETRY_MS;
    if (reports.hasUnacknowledged) return UNACKNOWLEDGED_PAUSE_MS;
    return idle ? RENEWAL_WAIT_MS : MIN_PAUSE_MS;
  }

  /** Sleeps between renewals; a new start order ends the sleep. */
  async function sleep(ms: number) {
    await Promise.race([
      pause(ms),
      new Promise<void>((resolve) => {
        wake = resolve;
      }),
    ]);
  }

  async function renewUntilClosed() {
    while (!closed && !ended) {
      const startedAt = performance.now();
      const answered = await renewOnce();
      if (silentRenewals > 0 && runs.size > 0 && clock.hasExpired()) {
        events.warn('worker-lease-lapsed', { worker: incarnation.id, runs: runs.size });
        endAllRuns('lapsed');
      }
      const idle = runs.size === 0 && reports.foreignRuns === 0;
      const sleepMs = choosePauseMs(answered, idle) - (performance.now() - startedAt);
      if (sleepMs > 0) await sleep(sleepMs);
    }
  }

  return session;
}
