/**
 * Publishes to all hosts how long a new job would wait. Follows the jobs, planning rounds and ends of runs of this term,
 * and computes the waits at intervals from the steps of the last round, so that a round itself costs nothing more.
 */
import {
  createFlowMeter,
  createWaitPublication,
  describeWaits,
  EXPECTED_WAIT_KEY,
  expectedWaits,
  expectedWorkMs,
} from '../admission/index.js';
import type { ExpectedWaits, FlowMeter, ServiceRoom, WaitingWork } from '../admission/index.js';
import type { RunEnd } from '../jobs/index.js';
import { subtractResources } from '../model/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { PlacementBarrier, WaitingStep } from '../planner/index.js';
import type { CellConfiguration } from '../queues/index.js';
import type { Condition, KeyValueStore } from '../records/index.js';
import { createLatestValueRecord } from '../records/index.js';
import { termsOf } from './cell.js';
import type { Cell, JobEntry } from './cell.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { Run } from './run.js';
import type { ShareMeter } from './share-meter.js';

const PUBLISH_INTERVAL_MS = 400;
/** Rounds follow each other within 0.2 s while work waits; an older one says nothing about the present. */
const MAX_ROUND_AGE_MS = 1000;

const NO_WAITS: ExpectedWaits = { queues: new Map(), limited: [] };

/** The steps of a planning round in the planner's order, and what kept them from being placed. */
export interface PlannedRound {
  readonly steps: readonly WaitingStep[];
  readonly barriers: ReadonlyMap<string, PlacementBarrier>;
}

export interface WaitPublisher {
  noteJob(entry: JobEntry): void;
  readonly noteRound: (round: PlannedRound) => void;
  noteEnd(run: Run, end: RunEnd): void;
  close(): void;
}

export interface WaitPublisherOptions {
  readonly store: KeyValueStore;
  readonly epoch: number;
  readonly cell: Pick<Cell, 'ready'>;
  readonly sessions: () => Pick<FleetSessions, 'all' | 'usable'>;
  readonly share: Pick<ShareMeter, 'scarce'>;
  readonly configuration: () => CellConfiguration | undefined;
  /** A transaction condition that holds as long as this host leads. */
  readonly condition: () => Condition;
  /** Whether all jobs have been restored and the term has not ended. */
  readonly active: () => boolean;
  /** Number of hosts that accept jobs. */
  readonly hosts: () => number;
  readonly events: EventLog;
  readonly meters: Pick<Meters, 'expectedWaitSeconds'>;
  /** The leader's clock, on which steps have their objectives. */
  readonly clock?: () => number;
  readonly now?: () => number;
}

export function createWaitPublisher(options: WaitPublisherOptions): WaitPublisher {
  const { cell, meters, clock = Date.now, now = () => performance.now() } = options;
  const publication = createWaitPublication({ now });
  const record = createLatestValueRecord({
    store: options.store,
    key: EXPECTED_WAIT_KEY,
    condition: options.condition,
  });
  /** Measures from the time on at which all jobs have been restored. */
  let flow: FlowMeter | undefined;
  let lastRound: (PlannedRound & { readonly at: number }) | undefined;

  function queueOf(name: string) {
    return options.configuration()?.queues.find((queue) => queue.name === name);
  }

  function listWork(): WaitingWork[] {
    if (lastRound === undefined || now() - lastRound.at > MAX_ROUND_AGE_MS) return [];
    const { steps, barriers } = lastRound;
    return steps.flatMap((step) => {
      const ready = cell.ready.get(step.key);
      if (ready === undefined) return [];
      const barrier = step.constraint?.known === false ? 'permit' : barriers.get(step.key);
      const { queue } = ready.entry.progress.job;
      return [{ step, queue, waiting: ready.step.waitingCount, barrier }];
    });
  }

  function computeWaits(measured: FlowMeter): ExpectedWaits {
    const work = cell.ready.size === 0 ? [] : listWork();
    if (work.length === 0) return NO_WAITS;
    return expectedWaits({
      nowMs: clock(),
      work,
      ...describeUsage(options.sessions()),
      queues: options.configuration()?.queues ?? [],
      flow: measured,
    });
  }

  async function publish() {
    if (!options.active()) return;
    flow ??= createFlowMeter({ now });
    const measured = flow;
    const waits = computeWaits(measured);
    reportWaits(waits, meters);
    const next = publication.next(
      describeWaits({
        epoch: options.epoch,
        hosts: options.hosts(),
        waits,
        usualTask: (queue) => measured.usualTask(queue),
        teams: options.share.scarce(),
      }),
    );
    if (next === undefined || !(await record.write(JSON.stringify(next)))) return;
    publication.recordWritten(next);
    const { number, queues, limited, teams } = next;
    options.events.info('expected-wait-published', {
      number,
      queues,
      limited,
      teams: Object.keys(teams),
    });
  }

  const timer = setInterval(() => void publish(), PUBLISH_INTERVAL_MS);
  timer.unref();

  return {
    noteJob: ({ progress: { job }, beyondShare }) => {
      if (flow === undefined || job.schedule !== undefined) return;
      const queue = queueOf(job.queue);
      const usual = flow.usualTask(job.queue);
      const coreMs = job.steps
        .filter(({ longRunning }) => !longRunning)
        .reduce(
          (sum, { count, size, estimateMs }) =>
            sum + count * size.processors * expectedWorkMs(estimateMs, usual),
          0,
        );
      const urgent = termsOf(job, queue).priority === 0;
      const service = queue?.service ?? job.service;
      flow.noteArrival({ service, team: job.team, urgent, beyondShare, coreMs });
    },
    noteRound: (round) => {
      lastRound = { ...round, at: now() };
    },
    noteEnd: (run, end) => {
      const { job } = run.progress;
      const { estimateMs, longRunning } = run.step.step;
      // When a previous leader placed its runs is not known.
      if (flow === undefined || run.inherited || longRunning) return;
      flow.noteEnd({
        queue: job.queue,
        service: queueOf(job.queue)?.service ?? job.service,
        team: run.team,
        processors: run.size.processors,
        accelerators: run.size.accelerators,
        tookMs: now() - run.startedAt,
        estimateMs,
        done: end === 'done',
      });
    },
    close: () => {
      clearInterval(timer);
      meters.expectedWaitSeconds.reset();
    },
  };
}

/** What the workers of each service have free, and what runs there, by service and team. */
function describeUsage(sessions: Pick<FleetSessions, 'all' | 'usable'>) {
  const teamCores = new Map<string, number>();
  const rooms = new Map<string, { free: ServiceRoom['free'][number][]; busyCores: number }>();
  const roomOf = (service: string) => {
    const room = rooms.get(service) ?? { free: [], busyCores: 0 };
    rooms.set(service, room);
    return room;
  };
  for (const { worker, runs } of sessions.all()) {
    const room = roomOf(worker.service);
    for (const { step, size, team } of runs.values()) {
      if (step.step.longRunning) continue;
      room.busyCores += size.processors;
      teamCores.set(team, (teamCores.get(team) ?? 0) + size.processors);
    }
  }
  for (const { worker, used } of sessions.usable()) {
    roomOf(worker.service).free.push(subtractResources(worker.room, used));
  }
  return { rooms, teamCores };
}

function reportWaits(
  { queues }: ExpectedWaits,
  { expectedWaitSeconds }: Pick<Meters, 'expectedWaitSeconds'>,
) {
  expectedWaitSeconds.reset();
  for (const [queue, { within, beyond }] of queues) {
    expectedWaitSeconds.set({ queue, share: 'within' }, within.onTimeMs / 1000);
    expectedWaitSeconds.set({ queue, share: 'beyond' }, beyond.onTimeMs / 1000);
  }
}
