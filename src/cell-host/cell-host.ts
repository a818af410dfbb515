/**
 * One host of a cell on the platform: serves callers, takes part in elections and leads when elected. All
 * protocols are given as ports.
 */
import type { WorkerConnection } from '../fleet/index.js';
import type { Job, WorkerIncarnation } from '../jobs/index.js';
import type { Controller, FleetSource } from '../controller/index.js';
import { createController } from '../controller/index.js';
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
  LEADERSHIP_PREFIX,
} from '../leadership/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../peers/index.js';
import { createLeaderLink, createPeerHub } from '../peers/index.js';
import type { CellConfiguration, ConfigurationHolder } from '../queues/index.js';
import { createConfigurationHolder } from '../queues/index.js';
import type { Condition, KeyValueStore } from '../records/index.js';
import { createReachability, followPrefix, pause } from '../records/index.js';

export interface CellHost {
  readonly service: CallerService;
  readonly configuration: ConfigurationHolder;
  /** Whether new callers should come here. */
  readonly ready: boolean;
  readonly stopping: boolean;
  /** Port of the listener for links between hosts. */
  readonly peerPort: number;
  /** Hands over what this host leads and turns new callers away; open connections go on. */
  drain(): Promise<void>;
  close(): void;
}

export interface CellHostOptions {
  readonly host: string;
  readonly ip: string;
  readonly peerPort: number;
  /** What this host has, in cores; the strongest hosts lead. */
  readonly processors: number;
  /** Shortest lease that the store grants, in milliseconds. */
  readonly minLeaseMs: number;
  readonly store: KeyValueStore;
  readonly fleet: FleetSource;
  readonly connect: (address: string, life: WorkerIncarnation) => WorkerConnection;
  readonly advise: (step: string, workers: readonly string[]) => Promise<AdviceAnswer | undefined>;
  readonly configurationKey: string;
  readonly decodeConfiguration: (text: string) => CellConfiguration | undefined;
  readonly events: EventLog;
  readonly meters: Meters;
}

/** Time to make progress durable before the office is given up. */
const QUIESCE_MS = 400;
/** The election also reads the leader's key by itself. */
const LEADERSHIP_WATCH_MS = 5000;
const LOOP_CHECK_INTERVAL_MS = 100;

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
  });
  const reader = createJobReader({ store, events });
  const local = createCallerService({
    host,
    store,
    configuration,
    configurationKey: options.configurationKey,
    adopt: (entry) => {
      feed.adopt(entry);
    },
    confirmedAt: () => feed.confirmedAt,
    isStoreLost: () => feed.isStoreLost,
    refreshConfiguration: () => feed.refresh(),
    submissions: createSubmissionBatcher({
      store,
      reachability,
      events,
      isStoreLost: () => feed.isStoreLost,
      onCommitted: noteCommitted,
    }),
    reader,
    events,
  });
  const hub = createPeerHub({ ip, port: options.peerPort, events });
  const link = createLeaderLink({
    host,
    processors,
    events,
    advise: options.advise,
    onLeaderUnavailable: () => {
      election.suspectLeader();
    },
    onCompletion: (job) => {
      reader.recordCompletion(job);
    },
    onEnd: (job, state) => {
      reader.recordEnd(job, state);
    },
    completions: () => reader.recentCompletions(),
  });
  /** Accepted jobs reach the leader without waiting for its feed, and confirm the configuration. */
  function noteCommitted(jobs: readonly Job[], { revision }: Condition, sentAt: number) {
    feed.recordConfirmation(revision, sentAt);
    for (const job of jobs) {
      if (controller === undefined) link.announceAccepted(job);
      else controller.addAcceptedJob(job);
    }
  }

  const ownAdvice: AdviceCaller = { name: host, advise: options.advise };
  const service = createRelayingService({
    local,
    isStoreLost: () => feed.isStoreLost,
    send: link.relay,
    events,
  });
  hub.setCallHandler((call) => answerRelayedCall(local, call));
  const loadWatch = createLoadMonitor();
  const strengthWatch = createStrengthMonitor(processors);
  let controller: Controller | undefined;
  let stopping = false;

  hub.onCallerConnected(() => {
    controller?.handleCallersChanged();
    election.recordStrongestHost(hub.maxProcessors);
  });
  hub.onAccepted((job) => {
    controller?.addAcceptedJob(job);
  });
  hub.onCompletions((jobs) => {
    for (const job of jobs) reader.recordCompletion(job);
    controller?.completeJobs(jobs);
  });

  const election: Election = createElection({
    store,
    host,
    address: `${ip}:${String(options.peerPort)}`,
    minLeaseMs: options.minLeaseMs,
    processors,
    events,
    eligible: () => !stopping,
    onElected: (term) => {
      controller?.close();
      meters.leader.set(1);
      loadWatch.startTerm(performance.now());
      strengthWatch.startTerm(performance.now());
      controller = createController({
        store,
        reachability,
        term,
        configuration,
        fleet: options.fleet,
        connect: options.connect,
        callers: () => [ownAdvice, ...hub.callers()],
        renewedAt: () => election.renewedAt,
        onLeadershipLost: (reason) => {
          election.stepDown(reason);
        },
        isCompleted: (job) => reader.finalState(job) === 'completed',
        announceCompletion: (job) => {
          reader.recordCompletion(job);
          hub.announceCompletion(job);
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
    onReacquired: (office) => {
      controller?.updateTerm(office);
    },
    onLeadershipLost: () => {
      controller?.close();
      controller = undefined;
      meters.leader.set(0);
      hub.disconnectAll();
    },
    onStoreRejection: () => {
      hub.requestReplacement();
    },
    onLeaderChange: (leader) => {
      link.setLeaderAddress(
        leader === undefined || leader.host === host ? undefined : leader.address,
      );
    },
  });
  const leadership = followPrefix({
    waitMs: LEADERSHIP_WATCH_MS,
    store,
    prefix: LEADERSHIP_PREFIX,
    events,
    reachability,
    onListing: (entries) => {
      election.observe(entries);
    },
    onChange: ({ key, value, revision }) => {
      if (value === undefined) election.observeRemoval(key);
      else election.observe([{ key, value, revision }]);
    },
  });
  election.start();

  let expected = performance.now() + LOOP_CHECK_INTERVAL_MS;
  const loopCheck = setInterval(() => {
    const now = performance.now();
    const delayMs = Math.max(0, now - expected);
    meters.eventLoopDelaySeconds.observe(delayMs / 1000);
    expected = now + LOOP_CHECK_INTERVAL_MS;
    const isLate = controller !== undefined && loadWatch.note(delayMs, now);
    const othersMayLead = hub.callers().length > 0 && !stopping;
    if (controller === undefined || !othersMayLead) return;
    if (isLate) void handOver('the event loop of this host is late most of the time');
    else if (strengthWatch.shouldYield(hub.maxProcessors, now)) {
      void handOver('a host with more processors is connected');
    }
  }, LOOP_CHECK_INTERVAL_MS);
  loopCheck.unref();

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
      leadership.stop();
      feed.stop();
      controller?.close();
      link.close();
      hub.close();
      clearInterval(loopCheck);
    },
  };
}
