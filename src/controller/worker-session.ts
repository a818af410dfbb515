/**
 * The leader's session with one incarnation of a worker: renews its lease, collects the ends of runs and decides when a
 * run has certainly ended.
 *
 * A worker that does not answer may continue until its lease expires on its own clock, which may run 2 % slow. Until
 * then its runs stay charged and are not started elsewhere.
 */
import type { WorkerConnection, WorkerReport } from '../fleet/index.js';
import type { RunEnd } from '../jobs/index.js';
import { createFaultContainment } from '../observability/index.js';
import { createLeaseClock } from './lease-clock.js';
import { choosePauseMs, chooseWaitMs } from './renewal-pace.js';
import { LATE_ORDER_MS, mayReachLaterIncarnation } from './run.js';
import type { Run } from './run.js';
import { createRunExpiry } from './run-expiry.js';
import { createSessionRuns } from './session-runs.js';
import { createSessionToken } from './session-token.js';
import { UNREACHABLE_CONNECTION } from './unreachable-connection.js';
import { createWakeablePause } from './wakeable-pause.js';
import { createWorkerOrders } from './worker-orders.js';
import { createWorkerReports } from './worker-reports.js';
import type { WorkerSession, WorkerSessionOptions } from './worker-session-types.js';

/**
 * Long enough, with a renewal every second, for the usual network partition of 5 to 6 s and for the election of a new
 * leader. The runs of a dead worker restart elsewhere only after the lease has expired.
 */
const LEASE_MS = 8000;
/** Time without an answer after which a successor is told of a silent worker; lost answers alone seldom last so long. */
const SILENCE_MS = 1500;
/** Consecutive unanswered renewals after which a worker is given no new work. */
const MAX_SILENT_RENEWALS = 1;

export function createWorkerSession(options: WorkerSessionOptions): WorkerSession {
  const { events, meters, epoch, leaseMs = LEASE_MS, maxLeaseMs } = options;
  const { lateOrderMs = LATE_ORDER_MS } = options;
  const incarnation = options.worker.incarnation;
  const token = createSessionToken(options.tokens, incarnation.id);
  let isRenewing = false;
  /** Monotonic time at which an answer has shown a later incarnation; undefined unless one is expected to report. */
  let replacedAt: number | undefined;
  const faults = createFaultContainment({ events, meters });
  let worker = options.worker;
  let connection = connectTo(worker.address);
  let confirmed = false;
  let silentRenewals = 0;
  let closed = false;
  let ended = false;
  /** Whether another host leads, so that this one only reads the worker's reports. */
  let observing = false;
  let successor: WorkerSession | undefined;
  let isPresent: (requestedAt: number) => boolean = () => true;
  let answeredAt = -Infinity;
  const openedAt = performance.now();
  const clock = createLeaseClock({
    inheritedLeaseUntil: options.inheritedLeaseUntil,
    ...(maxLeaseMs === undefined ? {} : { maxLeaseMs }),
    isConfirmed: () => confirmed,
  });
  const expiry = createRunExpiry({ clock, isConfirmed: () => confirmed });
  const sessionRuns = createSessionRuns({
    worker: incarnation,
    epoch,
    onEnd: (run, end, checkpoint) => options.onEnd(session, run, end, checkpoint),
    learnEnd: options.learnEnd,
    describeWorker: () => ({
      entryRevision: worker.revision,
      silentMs: Math.round(performance.now() - Math.max(answeredAt, openedAt)),
      workerClockMs: Math.round(clock.now()),
    }),
    events,
    meters,
  });
  const { byTask: runs, end: endRun } = sessionRuns;
  const betweenRenewals = createWakeablePause();
  const orders = createWorkerOrders({
    worker: incarnation,
    epoch,
    runs,
    connection: () => connection,
    clock,
    isOpen: () => !closed && !ended && !observing,
    onStart: betweenRenewals.wake,
    onUnansweredStart: expiry.noteUnanswered,
    endRun,
    onOtherIncarnation: () => {
      endIncarnation('another incarnation answers at its address');
    },
    onUncertainAnswer: expiry.noteUncertainAnswer,
    onLaterIncarnation: () => {
      if (replacedAt === undefined) faults.keepRunning('identify incarnations', identify);
      replacedAt = performance.now();
    },
    lateOrderMs,
    fencingToken: () => token.current,
    onFenced: handleFenced,
    onTicketRefused: options.onTicketRefused,
    responsiveNow: options.responsiveNow,
    startWindowMs: () => options.startWindowMs?.(session) ?? Infinity,
    events,
    meters,
  });
  const reports = createWorkerReports({
    worker: incarnation,
    epoch,
    runs,
    endRun,
    stop: orders.stop,
    stopForeign: (task, run) => {
      if (!observing) void connection.stop({ task, run, fencingToken: token.current });
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
    setConfirmation: (next) => {
      isPresent = next;
    },
    get answeredAt() {
      return answeredAt;
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
      return sessionRuns.used;
    },
    get confirmed() {
      return confirmed;
    },
    get silentLeaseLeftMs() {
      if (ended || observing || runs.size === 0) return undefined;
      if (confirmed && silentRenewals === 0) return undefined;
      const now = performance.now();
      if (now - Math.max(answeredAt, openedAt) < SILENCE_MS) return undefined;
      // The answer to a start decides how long its run may last.
      if (orders.isStarting) return undefined;
      return Math.max(0, ...[...runs.values()].map((run) => expiry.expiresAt(run) - now));
    },
    get reachable() {
      if (!confirmed || ended || replacedAt !== undefined || reports.foreignRuns > 0) return false;
      // A start extends the lease, too.
      if (options.isRecordedSilent?.() === true) return false;
      return silentRenewals < MAX_SILENT_RENEWALS && !orders.hasOverdueStart();
    },
    get ended() {
      return ended;
    },
    get hasUnacknowledged() {
      return reports.hasUnacknowledged;
    },
    startRenewals: () => {
      faults.keepRunning('renew leases', renewUntilClosed);
    },
    attach: sessionRuns.attach,
    adopt,
    outrank,
    start: orders.start,
    stop: orders.stop,
    withdraw: (run) => {
      void endRun(run, 'never-ran', '');
    },
    end: endIncarnation,
    applyReported: reports.applyReported,
    observe: () => {
      observing = true;
      if (runs.size === 0) close();
    },
    close,
  };

  function close() {
    closed = true;
    connection.close();
  }

  function handleFenced(refused: number) {
    if (token.applyRefusal(refused) === 'replaced') return;
    // The successor reaches the worker and reads its reports.
    if (observing) close();
    else options.onStaleEpoch(incarnation.id);
  }

  /** An incarnation that is not listed has no address. */
  function connectTo(address: string): WorkerConnection {
    return address === '' ? UNREACHABLE_CONNECTION : options.connect(address, incarnation);
  }

  function outrank(formerToken: number, underWayUntil: number) {
    token.outrank(formerToken);
    noteForeignCalls(underWayUntil);
  }

  /** Calls to an earlier incarnation may extend the lease of this one until it has answered a call with a later token. */
  function noteForeignCalls(underWayUntil: number) {
    if (!token.isReached) clock.noteForeignExtension(underWayUntil);
  }

  /** Monotonic time until which calls of this session may be carried out. */
  function callsMayArriveUntil(): number {
    const isCalling = isRenewing || orders.isStarting;
    return isCalling ? performance.now() + lateOrderMs : expiry.callsUnderWayUntil;
  }

  function endLapsedRuns() {
    const now = performance.now();
    const lapsed = [...runs.values()].filter((run) => now > expiry.expiresAt(run));
    if (lapsed.length === 0) return;
    events.warn('worker-lease-lapsed', { worker: incarnation.id, runs: lapsed.length });
    for (const run of lapsed) endWithCheckpoint(run, 'lapsed', 'the lease has expired');
  }

  /**
   * The next report of this incarnation shows whether it has the run. If not, it never will: calls carry a later token
   * now, and the worker refuses a start of the run that arrives after one of them.
   */
  function adopt(run: Run) {
    if (successor !== undefined) {
      successor.adopt(run);
      return;
    }
    sessionRuns.attach(run);
    run.session = session;
    run.task.worker = incarnation;
    run.listed = false;
    run.confirmedByClock = false;
    run.percent = 0;
    run.progressedClockMs = undefined;
    run.startedClockMs = undefined;
    run.since = -Infinity;
    run.fencedAt = performance.now();
    if (ended) {
      void endRun(run, 'lost', run.task.checkpoint, 'the later incarnation has ended, too');
      return;
    }
    noteForeignCalls(run.lateStartUntil);
    orders.resume(run);
    betweenRenewals.wake();
  }

  function endIncarnation(reason: string, next?: WorkerSession) {
    if (ended) return;
    ended = true;
    successor = next;
    const handedOver =
      next === undefined ? [] : [...runs.values()].filter(mayReachLaterIncarnation);
    events.warn('worker-life-ended', {
      worker: incarnation.id,
      born: incarnation.born,
      reason,
      successorBorn: next?.incarnation.born,
      runs: runs.size,
      handedOver: handedOver.length,
    });
    next?.outrank(token.current, callsMayArriveUntil());
    for (const run of handedOver) {
      sessionRuns.detach(run);
      next?.adopt(run);
    }
    for (const run of [...runs.values()]) endWithCheckpoint(run, 'lost', reason);
    connection.close();
    options.onChange();
  }

  function endWithCheckpoint(run: Run, end: RunEnd, reason: string) {
    // The dispatcher withdraws an order that is not durable yet.
    if (run.status === 'logging') run.status = 'stopping';
    else void endRun(run, end, run.task.checkpoint, reason);
  }

  const isIdle = () => runs.size === 0 && reports.foreignRuns === 0;

  /** Ends this incarnation if a later one has given the report; returns whether it has. */
  function applyOtherIncarnation({ born }: WorkerReport): boolean {
    if (born === undefined || born === incarnation.born) return false;
    if (observing) {
      close();
      return true;
    }
    // Even with an earlier time of start it is a later incarnation, because it answers after this one was listed.
    const next = options.openSuccessor(session, born);
    endIncarnation('another incarnation reports under its id', next);
    return true;
  }

  /** Asks which incarnation answers, because the renewal that waits may not be answered any more. */
  async function identify() {
    const outcome = await connection.renew({
      fencingToken: token.current,
      acknowledgedThrough: 0,
      leaseUntilMs: undefined,
      waitMs: 0,
    });
    if (!closed && !ended && outcome.kind === 'report') applyOtherIncarnation(outcome.report);
  }

  async function renewOnce(): Promise<boolean> {
    const requestedAt = performance.now();
    const until = clock.now() + leaseMs;
    // An unanswered extension may have reached the worker, so extending a silent worker's lease would postpone forever
    // the time at which it has certainly expired.
    const silent = silentRenewals > 0 || replacedAt !== undefined;
    const extend = confirmed && !silent && options.mayExtendLease();
    if (extend) clock.extend(until);
    const first = !confirmed;
    // Another incarnation may get this renewal, which acknowledges nothing there and whose answer is wanted at once.
    const fencingToken = token.current;
    isRenewing = true;
    const outcome = await connection.renew({
      fencingToken,
      acknowledgedThrough: silent ? 0 : reports.acknowledgedThrough,
      leaseUntilMs: extend ? until : undefined,
      waitMs: first || silent || isIdle() ? 0 : chooseWaitMs(runs.values(), reports.foreignRuns),
    });
    isRenewing = false;
    if (extend && outcome.kind === 'unknown') {
      expiry.noteUnanswered(performance.now() + lateOrderMs);
    }
    if (closed || ended) return true;
    if (outcome.kind === 'report') {
      if (applyOtherIncarnation(outcome.report)) return true;
      if (first && !isPresent(requestedAt)) return true;
      answeredAt = performance.now();
      if (first) {
        events.info('worker-confirmed', {
          worker: incarnation.id,
          born: incarnation.born,
          epoch,
          fencingToken,
          running: outcome.report.running.length,
          ends: outcome.report.ended.length,
        });
      }
      if (silentRenewals >= MAX_SILENT_RENEWALS) {
        events.info('worker-regained', { worker: incarnation.id, silentRenewals });
      }
      if (token.reach(fencingToken)) clock.reach(outcome.report.clockMs);
      const changed = first || silentRenewals > 0;
      confirmed = true;
      silentRenewals = 0;
      if (replacedAt !== undefined && requestedAt > replacedAt) replacedAt = undefined;
      expiry.noteReport(requestedAt);
      clock.noteReport(outcome.report.clockMs, requestedAt);
      await reports.apply(outcome.report, requestedAt);
      if (changed) options.onChange();
      return true;
    }
    if (outcome.kind === 'other-incarnation') {
      endIncarnation('another incarnation answers at its address');
      return true;
    }
    if (outcome.kind === 'refused' && outcome.reason === 'fenced') {
      handleFenced(fencingToken);
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

  async function renewUntilClosed() {
    while (!closed && !ended) {
      const startedAt = performance.now();
      const answered = await renewOnce();
      if (silentRenewals > 0) endLapsedRuns();
      if (observing && runs.size === 0) {
        close();
        return;
      }
      const { hasUnacknowledged } = reports;
      const acknowledges = reports.acknowledgedThrough > 0;
      const pauseMs = choosePauseMs({ answered, idle: isIdle(), hasUnacknowledged, acknowledges });
      const sleepMs = pauseMs - (performance.now() - startedAt);
      if (sleepMs > 0) await betweenRenewals.wait(sleepMs);
    }
  }

  return session;
}
