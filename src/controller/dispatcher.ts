/**
 * Runs planning rounds and carries out their placements: builds the planner's input, requests missing permits, makes
 * placements durable and then sends the start orders.
 */
import { createFaultContainment } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { Placement, TeamBudget, WaitingStep, WorkerHealth } from '../planner/index.js';
import type { CandidateWorker, Hold, PlacementBarrier } from '../planner/index.js';
import { orderSteps, planRound } from '../planner/index.js';
import type { CellConfiguration, Queue } from '../queues/index.js';
import { formatStepName, openTask, setPhase } from '../jobs/index.js';
import { subtractResources } from '../model/index.js';
import { termsOf } from './cell.js';
import type { Cell, JobEntry, ReadyStep } from './cell.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { JobLifecycle } from './job-lifecycle.js';
import type { PermitClient, PermitRequest } from './permit-client.js';
import {
  createWorkerLookup,
  describeFirstRequest,
  describePermitRequests,
} from './permit-requests.js';
import type { WorkerLookup } from './permit-requests.js';
import type { OrderWindow } from './order-window.js';
import { countBlockedSteps } from './blocked-steps.js';
import type { BlockedSteps } from './blocked-steps.js';
import { createPlacementRoom } from './placement-room.js';
import type { PlacementRoom } from './placement-room.js';
import { delayOfRequest, pauseAfterRound } from './round-pace.js';
import { createRun } from './run.js';
import type { Run } from './run.js';
import { createRunForecast } from './run-forecast.js';
import type { RunForecast } from './run-forecast.js';
import { UNLIMITED_STARTS } from './start-budget.js';
import type { StartBudget } from './start-budget.js';
import { createStartOrders } from './start-orders.js';
import type { PlannedRound } from './wait-publisher.js';
import type { WorkerSession } from './worker-session-types.js';

/** Age up to which the workers of the last round serve to choose those that a query names. */
const MAX_LOOKUP_AGE_MS = 1000;
/** Interval of planning rounds without any change, because slack and the validity of tickets depend on time. */
const IDLE_INTERVAL_MS = 100;

export interface Dispatcher {
  /** Requests a planning round after the pause that the last round asks for. */
  request(): void;
  /** Requests the first permits of a new job at once, which would otherwise wait for a planning round. */
  requestFirstPermits(entry: JobEntry): void;
  /** Sends no further orders, before a planned stop. */
  stop(): void;
  /** Planning rounds of this term and their total duration. */
  readonly effort: PlanningEffort;
}

export interface PlanningEffort {
  readonly rounds: number;
  readonly tookMs: number;
  /** Starts that were sent to workers. */
  readonly starts: number;
  /** Steps that the last round left waiting, by what kept them. */
  readonly blocked: BlockedSteps;
}

export interface DispatcherOptions {
  readonly cell: Cell;
  readonly sessions: FleetSessions;
  readonly lifecycle: JobLifecycle;
  readonly permits: PermitClient;
  readonly health: WorkerHealth;
  readonly events: EventLog;
  readonly meters: Meters;
  readonly configuration: () => CellConfiguration | undefined;
  readonly write: (job: string) => Promise<boolean>;
  /** Monotonic milliseconds of the last confirmed renewal of the leader's lease. */
  readonly renewedAt: () => number | undefined;
  readonly orderWindow: OrderWindow;
  /** Age in milliseconds of what this leader knows of the workers. */
  readonly fleetAgeMs: () => number;
  /** The leader's clock, on which jobs have their objectives. */
  readonly clock?: () => number;
  /** By default, one that has learned nothing. */
  readonly forecast?: RunForecast;
  /** How much deferrable work the leader has time to start; by default, there is no limit. */
  readonly startBudget?: StartBudget;
  /** How many times as long work takes away from its place; if unset, work does not wait for its place. */
  readonly remoteFactor?: number | undefined;
  /** Called after each round with its steps, in order, and what kept them from being placed. */
  readonly onRound?: (round: PlannedRound) => void;
}

interface Round {
  readonly nowMs: number;
  /** What the leader has room for beside the runs that there are. */
  readonly room: PlacementRoom;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly sessionsById: ReadonlyMap<string, WorkerSession>;
  readonly workersOf: WorkerLookup;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { cell, sessions, lifecycle, permits, events, meters } = options;
  const { forecast = createRunForecast(), clock = Date.now } = options;
  const { startBudget = UNLIMITED_STARTS } = options;
  /** Waits of steps for their place, from round to round. */
  const holds = new Map<string, Hold>();
  const faults = createFaultContainment({ events, meters });
  let timer: NodeJS.Timeout | undefined;
  /** A round was requested and its timer is running. */
  let roundRequested = false;
  let stopped = false;
  let pauseMs = pauseAfterRound(0);
  let roundEndedAt = -Infinity;
  let workersOf: WorkerLookup | undefined;
  let effort: Omit<PlanningEffort, 'starts'> = { rounds: 0, tookMs: 0, blocked: {} };
  const startOrders = createStartOrders({ ...options, isStopped: () => stopped });

  function schedule(delayMs: number) {
    if (stopped) return;
    timer = setTimeout(() => {
      timer = undefined;
      roundRequested = false;
      faults.contain('planning round', {}, plan);
      scheduleIdleRound();
    }, delayMs);
    timer.unref();
  }

  /** Does nothing if the round has itself requested another one. */
  function scheduleIdleRound() {
    if (timer === undefined) schedule(IDLE_INTERVAL_MS);
  }

  function request() {
    if (roundRequested) return;
    if (timer !== undefined) clearTimeout(timer);
    roundRequested = true;
    schedule(delayOfRequest(pauseMs, performance.now() - roundEndedAt));
  }

  function plan() {
    const configuration = options.configuration();
    if (configuration === undefined || cell.ready.size === 0) return;
    const startedAt = performance.now();
    const usable = sessions.usable();
    const round: Round = {
      nowMs: clock(),
      room: createPlacementRoom([...sessions.all()]),
      queues: new Map(configuration.queues.map((queue) => [queue.name, queue])),
      sessionsById: new Map(usable.map((session) => [session.incarnation.id, session])),
      workersOf: createWorkerLookup(() => usable),
    };
    workersOf = round.workersOf;
    const steps = orderSteps(
      [...cell.ready.values()].map((ready) => describeStep(ready, round)),
      round.nowMs,
    );
    const barriers = new Map<string, PlacementBarrier>();
    const placements = planRound({
      nowMs: round.nowMs,
      workers: usable.map((session) => describeWorker(session, round.nowMs)),
      steps,
      budgets: describeBudgets(configuration),
      round: effort.rounds,
      maxDeferrableTasks: startBudget.left,
      remoteFactor: options.remoteFactor,
      holds,
      onBlocked: ({ key }, barrier) => barriers.set(key, barrier),
    });
    // Permits are requested all the same, so that placement can continue as soon as the workers are known again.
    if (options.orderWindow.allowsPlacement) {
      startBudget.take(placements.filter(({ step }) => step.priority !== 0).length);
      orderPlacements(placements, round);
    }
    requestPermits(steps, round, barriers);
    options.onRound?.({ steps, barriers });
    roundEndedAt = performance.now();
    const tookMs = roundEndedAt - startedAt;
    meters.planSeconds.observe(tookMs / 1000);
    effort = {
      rounds: effort.rounds + 1,
      tookMs: effort.tookMs + tookMs,
      blocked: countBlockedSteps(
        steps.filter(({ key }) => cell.ready.has(key)),
        barriers,
      ),
    };
    pauseMs = pauseAfterRound(tookMs);
  }

  function requestFirstPermits({ progress }: JobEntry) {
    const configuration = options.configuration();
    if (configuration === undefined || workersOf === undefined) return;
    if (stopped || performance.now() - roundEndedAt > MAX_LOOKUP_AGE_MS) return;
    const { job } = progress;
    const queue = configuration.queues.find(({ name }) => name === job.queue);
    const { advice } = termsOf(job, queue);
    if (advice === undefined) return;
    const service = queue?.service ?? job.service;
    const requests: PermitRequest[] = [];
    for (const { number: occurrence, steps } of progress.occurrences.values()) {
      for (const { number, step, waitingCount } of steps) {
        const key = formatStepName({ job: job.id, occurrence, step: number });
        if (!cell.ready.has(key)) continue;
        const { size, requiredLabel } = step;
        const workers = workersOf({ service, requiredLabel });
        const wanted = { key, tasks: waitingCount, size, timing: advice, workers };
        requests.push(describeFirstRequest(wanted));
      }
    }
    permits.requestFirst(requests);
  }

  function describeWorker(session: WorkerSession, nowMs: number): CandidateWorker {
    const { worker, used, runs } = session;
    return {
      id: worker.incarnation.id,
      service: worker.service,
      dataCentre: worker.dataCentre,
      rack: worker.rack,
      labels: worker.labels,
      room: worker.room,
      free: subtractResources(worker.room, used),
      healthStatus: options.health.statusOf(worker.incarnation.id),
      speed: forecast.speedOf(session),
      releases: () => forecast.releasesOf(session, nowMs),
      cold: worker.coldUntil !== undefined && performance.now() < worker.coldUntil,
      runs: runs.size,
    };
  }

  function describeStep(ready: ReadyStep, round: Round): WaitingStep {
    const { key, entry, step } = ready;
    const { job } = entry.progress;
    const queue = round.queues.get(job.queue);
    const terms = termsOf(job, queue);
    const permitRequired = terms.advice !== undefined;
    const placed = new Map<string, number>();
    if (step.step.maxPerWorker !== undefined) {
      for (const { phase, worker } of step.tasks.values()) {
        if (phase !== 'placed' || worker === undefined) continue;
        placed.set(worker.id, (placed.get(worker.id) ?? 0) + 1);
      }
    }
    const outlook = forecast.outlookOf(ready);
    let waitingTasks: readonly number[] | undefined;
    return {
      key,
      service: queue?.service ?? job.service,
      team: job.team,
      priority: terms.priority,
      beyondShare: entry.beyondShare,
      objectiveAtMs: outlook.objectiveAtMs,
      uselessAtMs: outlook.uselessAtMs,
      remainingMs: outlook.criticalPathMs[step.number] ?? 0,
      size: step.step.size,
      workMs: outlook.workMs[step.number] ?? step.step.estimateMs,
      waiting: step.waitingCount,
      // Listed only if the planner gets to place them.
      get tasks() {
        waitingTasks ??= round.room.listPlaceable(ready);
        return waitingTasks;
      },
      gang: step.step.gang,
      rackSensitive: step.step.rackSensitive,
      dataRack: step.step.dataRack,
      longRunning: step.step.longRunning,
      requiredLabel: step.step.requiredLabel,
      maxPerWorker: step.step.maxPerWorker,
      placed,
      constraint: permitRequired
        ? {
            known: permits.isKnown(key),
            startable: (workers) =>
              permits.startable(
                key,
                workers,
                ({ id }) => round.sessionsById.get(id)?.incarnation.born,
              ),
            runnable: (workers) => permits.runnable(key, workers),
          }
        : undefined,
      avoids: (task, worker) => step.tasks.get(task)?.failedOn.includes(worker) === true,
    };
  }

  function describeBudgets(configuration: CellConfiguration): Map<string, TeamBudget> {
    return new Map(
      configuration.teams.map(({ name, limit }) => [name, { limit, used: cell.usedBy(name) }]),
    );
  }

  function requestPermits(
    steps: readonly WaitingStep[],
    round: Round,
    barriers: Map<string, PlacementBarrier>,
  ) {
    const requests = describePermitRequests({
      steps,
      barriers,
      queueOf: ({ key }) => {
        const ready = cell.ready.get(key);
        if (ready === undefined) return undefined;
        const { job } = ready.entry.progress;
        return { name: job.queue, ...termsOf(job, round.queues.get(job.queue)) };
      },
      tasksOf: ({ key }) => cell.ready.get(key)?.step.waitingCount ?? 0,
      workersOf: round.workersOf,
      round: effort.rounds,
    });
    permits.requestMissing(requests);
  }

  function orderPlacements(placements: readonly Placement[], round: Round) {
    const byJob = new Map<string, Run[]>();
    for (const placement of placements) {
      const run = placeRun(placement, round);
      if (run === undefined) continue;
      const { id } = run.progress.job;
      const runs = byJob.get(id);
      if (runs === undefined) byJob.set(id, [run]);
      else runs.push(run);
    }
    for (const [job, runs] of byJob) {
      const entry = cell.jobs.get(job);
      if (entry === undefined) continue;
      if (entry.progress.state === 'queued') entry.progress.state = 'running';
      cell.refresh(entry);
      const writtenAt = performance.now();
      void options.write(job).then((durable) => {
        if (durable) startOrders.send(runs, writtenAt);
      });
    }
  }

  function placeRun(placement: Placement, round: Round): Run | undefined {
    const ready = cell.ready.get(placement.step.key);
    const session = round.sessionsById.get(placement.worker);
    if (ready === undefined || session === undefined) return undefined;
    const { step, entry } = ready;
    if (!round.room.take(ready, placement.task)) return undefined;
    const task = openTask(step, placement.task);
    if (task === undefined) return undefined;
    const now = performance.now();
    task.run += 1;
    task.worker = session.incarnation;
    setPhase(step, task, 'placed');
    const name = `${placement.step.key}.${String(task.index)}`;
    const run = createRun({
      name,
      progress: entry.progress,
      step,
      task,
      session,
      inherited: false,
    });
    session.attach(run);
    lifecycle.registerRun(run);
    const waitedMs = step.readySince === undefined ? 0 : now - step.readySince;
    meters.waitSeconds.observe({ queue: entry.progress.job.queue }, waitedMs / 1000);
    events.info('task-placed', {
      job: entry.progress.job.id,
      task: run.name,
      run: run.number,
      worker: session.incarnation.id,
      waitedMs: Math.round(waitedMs),
      slackMs: Math.round(placement.step.objectiveAtMs - round.nowMs - placement.step.remainingMs),
      beyondShare: entry.beyondShare,
      fleetAgeMs: options.fleetAgeMs(),
      entryRevision: session.worker.revision,
      speed: Math.round(placement.speed * 100) / 100,
      place: placement.place,
      heldMs: placement.heldMs,
    });
    countPlacement(placement);
    return run;
  }

  function countPlacement({ place, heldMs }: Placement) {
    if (place === undefined) return;
    meters.placements.inc({ place, waited: heldMs === undefined ? 'no' : 'yes' });
  }

  schedule(IDLE_INTERVAL_MS);
  return {
    request,
    requestFirstPermits,
    get effort() {
      return { ...effort, starts: startOrders.sent };
    },
    stop: () => {
      stopped = true;
      if (timer !== undefined) clearTimeout(timer);
    },
  };
}
