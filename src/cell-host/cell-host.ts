/**
 * Host of a cell on the platform: serves callers, takes part in elections and leads when elected. The clients of
 * the store, the workers and the advice service are passed in, so that nothing here depends on their protocols.
 */
import type { Server } from 'node:http';
import type { LinkListenerGuard } from '../client-limits/index.js';
import type { EvacuationSource, EvacuationState } from '../evacuations/index.js';
import {
  createAdmission,
  createWaitGate,
  decodeWaits,
  EXPECTED_WAIT_KEY,
} from '../admission/index.js';
import type { WorkerConnection } from '../fleet/index.js';
import type { Job, WorkerIncarnation } from '../jobs/index.js';
import type { Controller, FleetSource, SeenRecord } from '../controller/index.js';
import { createController, SILENT_WORKERS_KEY } from '../controller/index.js';
import type { CallerService } from '../intake/index.js';
import {
  answerRelayedCall,
  createCallerService,
  createConfigurationFeed,
  createJobReader,
  createRelayingService,
  createSubmissionBatcher,
} from '../intake/index.js';
import type { Election } from '../leadership/index.js';
import {
  createElection,
  createLoadMonitor,
  createStrengthMonitor,
  decodeOpenWork,
  LEADERSHIP_PREFIX,
  OPEN_WORK_KEY,
} from '../leadership/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../advice/index.js';
import { createLeaderLink, createPeerHub } from '../peers/index.js';
import type { CellConfiguration, ConfigurationHolder } from '../queues/index.js';
import { createConfigurationHolder } from '../queues/index.js';
import type { Condition, KeyValueStore } from '../records/index.js';
import { createReachability, followPrefix, pause } from '../records/index.js';
import { createLoadMeter, createLoadReport } from './load-report.js';

export interface CellHost {
  readonly service: CallerService;
  readonly configuration: ConfigurationHolder;
  /** Whether the platform should route new callers to this host. */
  readonly ready: boolean;
  readonly stopping: boolean;
  /** Whether this host leads, and the evacuations that it follows then, if the deployment has them. */
  describeEvacuations(): EvacuationAnswer;
  /** Port that listens for links from other hosts. */
  readonly peerPort: number;
  /** Hands over the leadership and becomes unready for new callers; open connections are still served. */
  drain(): Promise<void>;
  close(): void;
}

export interface EvacuationAnswer {
  readonly host: string;
  readonly leader: boolean;
  /**
   * `unknown` while a new leader reads them; undefined on a host that does not lead, and on a deployment without
   * evacuations.
   */
  readonly evacuations: readonly EvacuationState[] | 'unknown' | undefined;
}

export interface CellHostOptions {
  readonly host: string;
  readonly ip: string;
  readonly peerPort: number;
  /** Processing capacity of this host in cores; the strongest hosts lead. */
  readonly processors: number;
  /** Share of a core that one thread of this host gets. */
  readonly coreShare: number;
  /** Shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  readonly store: KeyValueStore;
  readonly fleet: FleetSource;
  /** Time after a worker's report that it leaves from which no task may be started on it. */
  readonly drainMs?: number;
  /** Time after an acknowledged cancellation from which no task of the job may be started. */
  readonly cancelMs?: number;
  /** Time in milliseconds after which each change of the operators' configuration must be in force. */
  readonly configurationApplyMs?: number | undefined;
  /** By default, no data centres are evacuated. */
  readonly evacuations?: EvacuationSource;
  /** The longest lease that a worker keeps, in milliseconds. */
  readonly maxLeaseMs?: number;
  /** How many times as long work takes away from its place; if unset, work does not wait for its place. */
  readonly remoteFactor?: number | undefined;
  /** The most bytes of memory that open jobs may take up at a leader; by default a part of its heap. */
  readonly openBytesLimit?: number;
  readonly connect: (address: string, incarnation: WorkerIncarnation) => WorkerConnection;
  readonly advise: (step: string, workers: readonly string[]) => Promise<AdviceAnswer | undefined>;
  readonly configurationKey: string;
  readonly decodeConfiguration: (text: string) => CellConfiguration | undefined;
  /** Limits the links of other hosts; without it they are not limited. */
  readonly protectLinks?: (server: Server) => LinkListenerGuard;
  readonly events: EventLog;
  readonly meters: Meters;
}

/** Time to make progress durable before the leadership is given up. */
const QUIESCE_MS = 400;
/** Wait of a watch on the leadership keys; the election also polls the leader's key. */
const LEADERSHIP_WATCH_WAIT_MS = 5000;
const EVENT_LOOP_CHECK_MS = 100;

export function createCellHost(options: CellHostOptions): CellHost {
  const { host, ip, processors, store, events, meters } = options;
  const configuration = createConfigurationHolder({ events });
  const reachability = createReachability({ events });
  const feed = createConfigurationFeed({
    store,
    reachability,
    key: options.configurationKey,
    decode: options.decodeConfiguration,
    holder: configuration,
    events,
    meters,
  });
  const reader = createJobReader({ store, events });
  const admission = createAdmission();
  const waits = createWaitGate();
  const local = createCallerService({
    host,
    store,
    configuration,
    configurationKey: options.configurationKey,
    adopt: (entry) => {
      feed.adopt(entry, 'conflict');
    },
    confirmedAt: () => feed.confirmedAt,
    isStoreLost: () => feed.isStoreLost,
    canRefresh: () => feed.canRefresh,
    configurationApplyMs: options.configurationApplyMs,
    refreshConfiguration: () => feed.refresh(),
    submissions: createSubmissionBatcher({
      store,
      reachability,
      events,
      isStoreLost: () => feed.isStoreLost,
      onCommitted: handleCommitted,
    }),
    admission,
    waits,
    reader,
    events,
    meters,
  });
  const hub = createPeerHub({
    ip,
    port: options.peerPort,
    events,
    ...(options.protectLinks === undefined ? {} : { protect: options.protectLinks }),
  });
  const link = createLeaderLink({
    host,
    processors,
    events,
    advise: options.advise,
    onLeaderUnavailable: () => {
      election.suspectLeader();
    },
    onEnd: (job, state) => {
      reader.recordEnd(job, state);
    },
  });
  /** Sends accepted jobs to the leader ahead of its watch; a committed write also confirms the configuration. */
  function handleCommitted(jobs: readonly Job[], { revision }: Condition, sentAt: number) {
    feed.recordConfirmation(revision, sentAt);
    for (const job of jobs) {
      const ageMs = Date.now() - job.acceptedAtMs;
      if (controller === undefined) link.announceAccepted(job, ageMs);
      else controller.addAcceptedJob(job, ageMs);
    }
  }

  const localAdvice: AdviceCaller = { name: host, advise: options.advise };
  const service = createRelayingService({
    local,
    isStoreLost: () => feed.isStoreLost,
    send: link.relay,
    events,
  });
  hub.setCallHandler((call) => answerRelayedCall(local, call));
  const loadMonitor = createLoadMonitor({ coreShare: options.coreShare });
  const strengthMonitor = createStrengthMonitor(processors);
  const loadReport = createLoadReport({ events });
  let controller: Controller | undefined;
  /** Controller of a term that ended while this host was cut off from the store. */
  let formerController: Controller | undefined;
  let stopping = false;
  let silentWorkersSeen: SeenRecord | undefined;

  function noteSilentWorkers(revision: number | undefined) {
    if (revision === undefined || revision === silentWorkersSeen?.revision) return;
    silentWorkersSeen = { revision, at: performance.now() };
  }

  hub.onCallerConnected(() => {
    controller?.handleCallersChanged();
    election.recordStrongestHost(hub.maxProcessors);
  });
  hub.onAccepted((job, ageMs) => {
    controller?.addAcceptedJob(job, ageMs);
  });
  hub.onLeaderChanged((leader) => {
    election.observeReported(leader);
  });
  hub.onEndReported((end) => {
    controller?.applyReportedEnd(end);
  });

  const election: Election = createElection({
    store,
    host,
    address: `${ip}:${String(options.peerPort)}`,
    minLeaseMs: options.minLeaseMs,
    processors,
    events,
    meters,
    eligible: () => !stopping,
    onElected: (term) => {
      controller?.close();
      formerController?.close();
      meters.leader.set(1);
      loadMonitor.startTerm(performance.now());
      strengthMonitor.startTerm(performance.now());
      controller = createController({
        store,
        reachability,
        term,
        configuration,
        fleet: options.fleet,
        ...(options.drainMs === undefined ? {} : { drainMs: options.drainMs }),
        ...(options.cancelMs === undefined ? {} : { cancelMs: options.cancelMs }),
        ...(options.evacuations === undefined ? {} : { evacuations: options.evacuations }),
        ...(options.maxLeaseMs === undefined ? {} : { maxLeaseMs: options.maxLeaseMs }),
        remoteFactor: options.remoteFactor,
        ...(options.openBytesLimit === undefined ? {} : { openBytesLimit: options.openBytesLimit }),
        silentWorkersSeen,
        connect: options.connect,
        callers: () => [localAdvice, ...hub.callers()],
        renewedAt: () => election.renewedAt,
        onConfigurationRevision: (revision) => {
          feed.noteRevision(revision);
        },
        onLeadershipLost: (reason) => {
          election.stepDown(reason);
        },
        announceEnd: ({ id, acceptedBy }, state) => {
          if (acceptedBy === host) reader.recordEnd(id, state);
          else hub.announceEnd(acceptedBy, id, state);
        },
        onLeaderKeyMissing: () => {
          events.warn('leader-key-missing', { epoch: term.epoch });
        },
        events,
        meters,
      });
    },
    onReacquired: (term) => {
      controller?.updateTerm(term);
    },
    onLeadershipLost: (_reason, isCutOff) => {
      formerController?.close();
      formerController = undefined;
      if (isCutOff) {
        formerController = controller;
        formerController?.observeRuns((end) => {
          link.reportEnd(end);
        });
      } else controller?.close();
      controller = undefined;
      meters.leader.set(0);
      meters.fleetAgeSeconds.set(0);
      hub.disconnectAll();
    },
    onStoreRejection: () => {
      hub.requestReplacement();
    },
    onLeaderChange: (leader) => {
      link.setLeaderAddress(
        leader === undefined || leader.host === host ? undefined : leader.address,
        leader,
      );
    },
  });
  const leadershipWatch = followPrefix({
    waitMs: LEADERSHIP_WATCH_WAIT_MS,
    store,
    prefix: LEADERSHIP_PREFIX,
    events,
    meters,
    reachability,
    onListing: (entries) => {
      election.observe(entries);
      const openWork = entries.find(({ key }) => key === OPEN_WORK_KEY);
      admission.update(decodeOpenWork(openWork?.value));
      const expectedWait = entries.find(({ key }) => key === EXPECTED_WAIT_KEY);
      waits.update(decodeWaits(expectedWait?.value), expectedWait?.revision ?? 0);
      noteSilentWorkers(entries.find(({ key }) => key === SILENT_WORKERS_KEY)?.revision);
    },
    onChange: ({ key, value, revision }) => {
      if (key === SILENT_WORKERS_KEY) noteSilentWorkers(revision);
      if (key === OPEN_WORK_KEY) admission.update(decodeOpenWork(value));
      if (key === EXPECTED_WAIT_KEY) waits.update(decodeWaits(value), revision);
      if (value === undefined) election.observeRemoval(key);
      else election.observe([{ key, value, revision }]);
    },
  });
  election.start();

  const measureLoad = createLoadMeter();
  let expected = performance.now() + EVENT_LOOP_CHECK_MS;
  const eventLoopTimer = setInterval(() => {
    const now = performance.now();
    const sample = { delayMs: Math.max(0, now - expected), ...measureLoad() };
    meters.eventLoopDelaySeconds.observe(sample.delayMs / 1000);
    meters.configurationAgeSeconds.set((now - feed.confirmedAt) / 1000);
    expected = now + EVENT_LOOP_CHECK_MS;
    if (controller === undefined) return;
    const leading = controller;
    if (Number.isFinite(leading.fleetAgeMs)) meters.fleetAgeSeconds.set(leading.fleetAgeMs / 1000);
    loadReport.add(sample, now, () => leading.describeLoad());
    const isSlow = loadMonitor.note(sample, now);
    if (hub.callers().length === 0 || stopping) return;
    if (isSlow) void handOver('this host has become slow and its event loop is delayed');
    else if (strengthMonitor.shouldYield(hub.maxProcessors, now)) {
      void handOver('a host with more processors is connected');
    }
  }, EVENT_LOOP_CHECK_MS);
  eventLoopTimer.unref();

  async function handOver(reason: string) {
    await controller?.quiesce(QUIESCE_MS);
    await election.yieldLeadership(reason);
  }

  return {
    service,
    configuration,
    get ready() {
      return !stopping && configuration.current !== undefined && !feed.isStoreLost;
    },
    get stopping() {
      return stopping;
    },
    describeEvacuations: () => ({
      host,
      leader: controller !== undefined,
      evacuations: controller?.describeEvacuations(),
    }),
    get peerPort() {
      return hub.port;
    },
    drain: async () => {
      stopping = true;
      await controller?.quiesce(QUIESCE_MS);
      await Promise.race([election.resign(), pause(QUIESCE_MS)]);
    },
    close: () => {
      election.stop();
      leadershipWatch.stop();
      feed.stop();
      controller?.close();
      formerController?.close();
      link.close();
      hub.close();
      clearInterval(eventLoopTimer);
    },
  };
}
