/**
 * Runs the scheduler for one leadership term: restores jobs and runs from the store, follows new jobs and the fleet,
 * and places tasks until the term ends.
 */
import type { FleetWorker } from '../fleet/index.js';
import { createFaultContainment } from '../observability/index.js';
import { createWorkerHealth } from '../planner/index.js';
import { pause } from '../records/index.js';
import { createCell, termsOf } from './cell.js';
import { createCellEvacuations } from './cell-evacuations.js';
import { createCellFeed } from './cell-feed.js';
import { describeCellWork } from './cell-work.js';
import type { Controller, ControllerOptions } from './controller-types.js';
import { createDispatcher } from './dispatcher.js';
import { createFencingTokens } from './fencing-tokens.js';
import { createFleetEntries } from './fleet-entries.js';
import { createFleetSessions } from './fleet-sessions.js';
import { createFormerLeader } from './former-leader.js';
import type { FormerLeader } from './former-leader.js';
import { createHousekeeping } from './housekeeping.js';
import { EXTEND_WITHOUT_STORE_MS, maxInheritedLeaseMs } from './inherited-leases.js';
import { createJobIntake } from './job-intake.js';
import { createJobLifecycle, stopStalledRuns } from './job-lifecycle.js';
import { createJobProgressLog } from './job-progress-log.js';
import { createLeavingWorkers } from './leaving-workers.js';
import { createOrderWindow, latestOrderAt } from './order-window.js';
import { createPermitClient } from './permit-client.js';
import { createResponsiveClock } from './responsive-clock.js';
import { createRestoredRecords } from './restored-records.js';
import { stepNameOf } from './run.js';
import { createForecastReport } from './forecast-report.js';
import { createRunForecast } from './run-forecast.js';
import { createSilentWorkerReports } from './silent-worker-reports.js';
import { createSilentWorkers } from './silent-workers.js';
import { createShareMeter } from './share-meter.js';
import { createSpareTime } from './spare-time.js';
import { createStartBudget } from './start-budget.js';
import { awaitStoppingRuns } from './stopping-runs.js';
import { createTermClock } from './term-clock.js';
import { createWaitPublisher } from './wait-publisher.js';
import { createWorkerSession } from './worker-session.js';
import type { WorkerSession } from './worker-session-types.js';

/** Drain time of the platform where its settings do not give another. */
const DEFAULT_DRAIN_MS = 2000;
/** Likewise for cancellations. */
const DEFAULT_CANCEL_MS = 3000;

export function createController(options: ControllerOptions): Controller {
  const { store, reachability, term, configuration, events, meters } = options;
  const { drainMs = DEFAULT_DRAIN_MS, cancelMs = DEFAULT_CANCEL_MS } = options;
  const now = () => performance.now();
  const startedAt = now();
  const inheritedLeaseMs = maxInheritedLeaseMs(
    options.maxLeaseMs === undefined ? {} : { maxLeaseMs: options.maxLeaseMs },
  );
  const clock = createTermClock();
  /** Whether the term has ended. */
  let closed = false;
  let formerLeader: FormerLeader | undefined;
  let condition = term.condition;
  const { savedProgress, finishedJobs, applyProgress } = createRestoredRecords({ clock });

  const faults = createFaultContainment({ events, meters });
  const health = createWorkerHealth({ now });
  const responsiveClock = createResponsiveClock();
  const tokens = createFencingTokens({
    epoch: term.epoch,
    onExhausted: () => {
      // Not at once: a session that is being opened has to be known before the term ends.
      setImmediate(() => {
        options.onLeadershipLost('its fencing tokens are used up');
      });
    },
  });
  const spareTime = createSpareTime();
  const startBudget = createStartBudget();
  const forecast = createRunForecast({ now, hasSpareTime: () => spareTime.isLeft });
  const cell = createCell({
    now,
    onStepSettled: (key) => {
      permits.forget(key);
    },
    onAdded: (entry) => {
      waits.noteJob(entry);
      dispatcher.requestFirstPermits(entry);
    },
  });
  const share = createShareMeter({ now });
  const waits = createWaitPublisher({
    store,
    epoch: term.epoch,
    cell,
    sessions: () => sessions,
    share,
    configuration: () => configuration.current?.configuration,
    condition: () => condition,
    active: () => feed.restored && !closed,
    clock,
    hosts: () => options.callers().length,
    events,
    meters,
  });
  const log = createJobProgressLog({
    store,
    reachability,
    condition: term.condition,
    cell,
    events,
    onLeadershipLost: options.onLeadershipLost,
    onLeaderKeyMissing: options.onLeaderKeyMissing,
  });
  const lifecycle = createJobLifecycle({
    cell,
    health,
    events,
    maxAttempts: (job) => termsOf(job, findQueue(job.queue)).maxAttempts,
    write: (job, urgency) => log.write(job, urgency),
    onEnded: (job, state) => {
      releaseEndedJob(job.id);
      options.announceEnd(job, state);
    },
    onChange: requestPlan,
    now: clock,
  });
  const permits = createPermitClient({
    callers: options.callers,
    events,
    meters,
    onPermits: requestPlan,
  });
  const silentWorkers = createSilentWorkers({
    store,
    epoch: term.epoch,
    condition: () => condition,
    seen: options.silentWorkersSeen,
  });
  const evacuations = createCellEvacuations({
    source: options.evacuations,
    confirmedAt: () => feed.evacuationsConfirmedAt,
    sessions: () => sessions.all(),
    onEnded: requestPlan,
    events,
    meters,
  });
  const leavingWorkers = createLeavingWorkers({
    stop: lifecycle.stop,
    expectRestMs: (run) => forecast.expectRestMs(run),
  });
  const sessions = createFleetSessions({
    open: openSession,
    events,
    onChange: requestPlan,
    onLeaving: leavingWorkers.update,
    latestOrderAt: () => latestOrderAt(fleetView),
    isEvacuated: evacuations.isEvacuated,
    contain: faults.contain,
  });
  const fleetView = { confirmedAt: () => feed.fleetConfirmedAt, maxAgeMs: drainMs };
  const cancelView = { confirmedAt: () => feed.cancellationsConfirmedAt, maxAgeMs: cancelMs };
  const orderWindow = createOrderWindow({ views: [fleetView, cancelView, ...evacuations.views] });
  const fleetAgeMs = () => Math.round(now() - feed.fleetConfirmedAt);
  const dispatcher = createDispatcher({
    cell,
    sessions,
    lifecycle,
    permits,
    health,
    events,
    meters,
    configuration: () => (feed.restored ? configuration.current?.configuration : undefined),
    write: (job) => log.write(job, 'order'),
    renewedAt: options.renewedAt,
    orderWindow,
    clock,
    fleetAgeMs,
    forecast,
    startBudget,
    remoteFactor: options.remoteFactor,
    onRound: waits.noteRound,
  });

  function requestPlan() {
    if (feed.restored && !closed) dispatcher.request();
  }

  /** Keeps only the id of a job whose end is durable. */
  function releaseEndedJob(id: string) {
    const finishedAtMs = cell.jobs.get(id)?.finishedAtMs ?? clock();
    finishedJobs.set(id, { finishedAtMs, revision: log.forget(id) });
    cell.remove(id);
  }

  function findQueue(name: string) {
    return configuration.current?.configuration.queues.find((queue) => queue.name === name);
  }

  function mayExtendLease({ incarnation }: FleetWorker): boolean {
    const renewedAt = options.renewedAt();
    if (closed || !silentWorkers.mayExtend(incarnation)) return false;
    return renewedAt !== undefined && now() - renewedAt < EXTEND_WITHOUT_STORE_MS;
  }

  function openSession(worker: FleetWorker): WorkerSession {
    const session = createWorkerSession({
      worker,
      connect: options.connect,
      events,
      meters,
      epoch: term.epoch,
      tokens,
      ...(options.maxLeaseMs === undefined ? {} : { maxLeaseMs: options.maxLeaseMs }),
      mayExtendLease: () => mayExtendLease(worker),
      isRecordedSilent: () => !silentWorkers.mayExtend(worker.incarnation),
      openSuccessor: (former, born) => sessions.openSuccessor(former, born),
      inheritedLeaseUntil: () =>
        silentWorkers.leaseEndOf(worker.incarnation) ?? startedAt + inheritedLeaseMs,
      onEnd: (session, run, end, checkpoint) => {
        waits.noteEnd(run, end);
        if (!closed) return lifecycle.applyEnd(run, end, checkpoint);
        formerLeader?.noteEnd(session, run, end, checkpoint);
        return Promise.resolve(false);
      },
      learnEnd: (run) => forecast.learnEnd(run),
      onReport: checkStalls,
      onTicketRefused: (run) => {
        permits.invalidate(stepNameOf(run), run.session.incarnation.id);
      },
      responsiveNow: () => responsiveClock.now(),
      startWindowMs: (asked) => (sessions.acceptsWork(asked) ? orderWindow.remainingMs() : 0),
      onStaleEpoch: (id) => {
        options.onLeadershipLost(`worker ${id} has seen a later epoch`);
      },
      onChange: requestPlan,
    });
    if (feed.restored) session.startRenewals();
    return session;
  }

  function checkStalls(session: WorkerSession, clockMs: number) {
    if (closed) return;
    forecast.learnProgress(session);
    stopStalledRuns(session, {
      clockMs,
      health,
      stop: lifecycle.stop,
      isGangRunning: lifecycle.isGangRunning,
    });
  }

  const silentWorkerReports = createSilentWorkerReports({
    record: silentWorkers,
    sessions: () => sessions.all(),
    active: () => feed.restored && !closed,
  });

  const forecastReport = createForecastReport({
    forecast: forecast.forecast,
    workers: () => [...sessions.all()].map(({ incarnation }) => incarnation),
    events,
    meters,
  });

  const fleetEntries = createFleetEntries({ fleet: options.fleet, sessions, events, meters });

  function handleRestored() {
    savedProgress.clear();
    sessions.endFormerIncarnations();
    for (const session of sessions.all()) session.startRenewals();
    events.info('cell-restored', {
      epoch: term.epoch,
      jobs: cell.jobs.size,
      finishedJobs: finishedJobs.size,
      waitingSteps: cell.ready.size,
      tookMs: Math.round(now() - startedAt),
    });
    evacuations.startReports();
    requestPlan();
  }

  const housekeeping = createHousekeeping({
    store,
    cell,
    condition: () => condition,
    active: () => feed.restored && !closed,
    clock,
    finishedJobs,
    ...(options.openBytesLimit === undefined ? {} : { openBytesLimit: options.openBytesLimit }),
    onChange: requestPlan,
    contain: faults.contain,
    events,
  });
  const intake = createJobIntake({
    cell,
    sessions,
    lifecycle,
    log,
    clock,
    share,
    savedProgress,
    finishedJobs,
    configuration: () => configuration.current?.configuration,
    beginDueOccurrences: housekeeping.beginDueOccurrences,
    onChange: requestPlan,
    onConfigurationRevision: options.onConfigurationRevision,
    contain: faults.contain,
    events,
    meters,
  });
  const feed = createCellFeed({
    store,
    reachability,
    fleetPrefix: options.fleet.prefix,
    fleetMaxAgeMs: drainMs,
    cancellationsMaxAgeMs: cancelMs,
    evacuations: options.evacuations,
    onProgress: applyProgress,
    onSilentWorkers: silentWorkers.restore,
    onFleet: fleetEntries.applyListing,
    onFleetChange: fleetEntries.applyChange,
    onJobs: intake.applyListing,
    onJobChange: intake.applyChange,
    onCancelledJobs: intake.applyCancelledJobs,
    onCancelledJob: intake.applyCancelledJob,
    onEvacuations: evacuations.applyListing,
    onEvacuationChange: evacuations.applyChange,
    onRestored: handleRestored,
    events,
    meters,
  });

  return {
    updateTerm: (next) => {
      condition = next.condition;
      log.updateCondition(condition);
    },
    handleCallersChanged: permits.dispatchQueued,
    describeEvacuations: () => evacuations.describe(),
    addAcceptedJob: (job, ageMs) => {
      // Before the restore is complete, the job is in the listing that is still being read.
      if (feed.restored && !closed) intake.addAccepted(job, ageMs);
    },
    get fleetAgeMs() {
      return fleetAgeMs();
    },
    describeLoad: () => ({
      ...describeCellWork({ cell, sessions, dispatcher, log }),
      fleetAgeMs: fleetAgeMs(),
      cancellationsAgeMs: Math.round(now() - feed.cancellationsConfirmedAt),
      ...(options.evacuations === undefined
        ? {}
        : { evacuationsAgeMs: Math.round(now() - feed.evacuationsConfirmedAt) }),
    }),
    quiesce: async (timeoutMs) => {
      dispatcher.stop();
      await awaitStoppingRuns({
        sessions,
        teams: () => configuration.current?.configuration.teams ?? [],
        isClosed: () => closed,
      });
      await Promise.race([log.drain(), pause(timeoutMs)]);
    },
    observeRuns: (report) => {
      endTerm();
      formerLeader = createFormerLeader({
        sessions,
        report,
        observeMs: inheritedLeaseMs,
        events,
      });
    },
    applyReportedEnd: (end) => {
      if (feed.restored && !closed) sessions.find(end.worker)?.applyReported(end);
    },
    close: () => {
      endTerm();
      formerLeader?.close();
      sessions.close();
    },
  };

  function endTerm() {
    closed = true;
    responsiveClock.stop();
    dispatcher.stop();
    silentWorkerReports.close();
    forecastReport.close();
    spareTime.close();
    housekeeping.close();
    evacuations.close();
    leavingWorkers.close();
    waits.close();
    feed.stop();
    log.close();
  }
}
