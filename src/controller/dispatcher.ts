/**
 * Runs planning rounds and carries out their placements: builds the planner's input, requests missing permits, makes
 * placements durable and then sends the start orders.
 */
import type { EventLog, Meters } from '../observability/index.js';
import type { Placement, TeamBudget, WaitingStep, WorkerHealth } from '../planner/index.js';
import type { CandidateWorker } from '../planner/index.js';
import { orderSteps, planRound } from '../planner/index.js';
import type { CellConfiguration, Queue } from '../queues/index.js';
import { setPhase } from '../jobs/index.js';
import { subtractResources } from '../model/index.js';
import type { Cell, ReadyStep } from './cell.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { JobLifecycle } from './job-lifecycle.js';
import type { PermitClient, PermitRequest } from './permit-client.js';
import { pauseAfterRound } from './round-pace.js';
import { createRun } from './run.js';
import type { Run } from './run.js';
import type { WorkerSession } from './worker-session-types.js';

/** Interval of planning rounds without any change, because slack and the validity of tickets depend on time. */
const IDLE_INTERVAL_MS = 100;
/** Number of steps at the head of each queue whose tickets are renewed before they expire. */
const RENEWED_STEPS = 6;

export interface Dispatcher {
  /** Requests a planning round after the pause that the last round asks for. */
  request(): void;
  /** Sends no further orders, before a planned stop. */
  stop(): void;
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
}

interface Round {
  readonly nowMs: number;
  readonly queues: ReadonlyMap<string, Queue>;
  readonly sessionsById: ReadonlyMap<string, WorkerSession>;
}

export function createDispatcher(options: DispatcherOptions): Dispatcher {
  const { cell, sessions, lifecycle, permits, events, meters } = options;
  let timer: NodeJS.Timeout | undefined;
  /** A round was requested and its timer is running. */
  let roundRequested = false;
  let stopped = false;
  let pauseMs = pauseAfterRound(0);

  function schedule(delayMs: number) {
    if (stopped) return;
    timer = setTimeout(() => {
      timer = undefined;
      roundRequested = false;
      plan();
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
    schedule(pauseMs);
  }

  function plan() {
    const configuration = options.configuration();
    if (configuration === undefined || cell.ready.size === 0) return;
    const startedAt = performance.now();
    const usable = sessions.usable();
    const round: Round = {
      nowMs: Date.now(),
      queues: new Map(configuration.queues.map((queue) => [queue.name, queue])),
      sessionsById: new Map(usable.map((session) => [session.incarnation.id, session])),
    };
    const steps = [...cell.ready.values()].map((ready) => describeStep(ready, round));
    const placements = planRound({
      nowMs: round.nowMs,
      workers: usable.map((session) => describeWorker(session)),
      steps,
      budgets: describeBudgets(configuration),
    });
    orderPlacements(placements, round);
    // Steps without waiting tasks need no further permits.
    requestPermits(
      steps.filter(({ key }) => cell.ready.has(key)),
      round,
    );
    const tookMs = performance.now() - startedAt;
    meters.planSeconds.observe(tookMs / 1000);
    pauseMs = pauseAfterRound(tookMs);
  }

  function describeWorker(session: WorkerSession): CandidateWorker {
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
      runs: runs.size,
    };
  }

  function describeStep(ready: ReadyStep, round: Round): WaitingStep {
    const { key, entry, step } = ready;
    const { job } = entry.progress;
    const queue = round.queues.get(job.queue);
    const permitRequired = queue?.advice !== undefined;
    const placed = new Map<string, number>();
    if (step.step.maxPerWorker !== undefined) {
      for (const { phase, worker } of step.tasks) {
        if (phase !== 'placed' || worker === undefined) continue;
        placed.set(worker.id, (placed.get(worker.id) ?? 0) + 1);
      }
    }
    return {
      key,
      service: queue?.service ?? job.service,
      team: job.team,
      priority: queue?.priority ?? 0,
      beyondShare: entry.beyondShare,
      objectiveAtMs: entry.objectiveAtMs,
      uselessAtMs: entry.uselessAtMs,
      remainingMs: entry.criticalPathMs[step.number] ?? 0,
      size: step.step.size,
      tasks: step.tasks.filter(({ phase }) => phase === 'waiting').map(({ index }) => index),
      gang: step.step.gang,
      rackSensitive: step.step.rackSensitive,
      dataRack: step.step.dataRack,
      requiredLabel: step.step.requiredLabel,
      maxPerWorker: step.step.maxPerWorker,
      placed,
      mayStart: (worker) =>
        !permitRequired ||
        permits.ticket(key, worker, incarnationStart(round, worker)) !== undefined,
      mayRun: (worker) => !permitRequired || permits.isAllowed(key, worker) === true,
      avoids: (task, worker) => step.tasks[task]?.failedOn.includes(worker) === true,
    };
  }

  function incarnationStart(round: Round, worker: string): number {
    return round.sessionsById.get(worker)?.incarnation.born ?? 0;
  }

  function describeBudgets(configuration: CellConfiguration): Map<string, TeamBudget> {
    return new Map(
      configuration.teams.map(({ name, limit }) => [name, { limit, used: cell.usedBy(name) }]),
    );
  }

  /** Requests permits for all waiting steps, and renews the tickets of the first steps of each queue. */
  function requestPermits(steps: readonly WaitingStep[], round: Round) {
    const queuePositions = new Map<string, number>();
    const workersOf = createWorkerLookup(round);
    const requests: PermitRequest[] = [];
    for (const step of orderSteps(steps, round.nowMs)) {
      const queueName = cell.ready.get(step.key)?.entry.progress.job.queue ?? '';
      const timing = round.queues.get(queueName)?.advice;
      if (timing === undefined) continue;
      const position = queuePositions.get(queueName) ?? 0;
      queuePositions.set(queueName, position + 1);
      const renew = position < RENEWED_STEPS;
      const tasks = step.tasks.length;
      requests.push({ step: step.key, timing, tasks, workers: workersOf(step), renew });
    }
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
      void options.write(job).then((durable) => {
        sendOrders(runs, durable);
      });
    }
  }

  function placeRun(placement: Placement, round: Round): Run | undefined {
    const ready = cell.ready.get(placement.step.key);
    const session = round.sessionsById.get(placement.worker);
    const task = ready?.step.tasks[placement.task];
    if (ready === undefined || session === undefined || task === undefined) return undefined;
    const { step, entry } = ready;
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
    });
    return run;
  }

  /** Sends the start orders of one job, or withdraws them. If any run of a gang is withdrawn, all of them are. */
  function sendOrders(runs: readonly Run[], durable: boolean) {
    if (!durable) return;
    const withdrawn = new Set<Run>();
    const tickets = new Map<Run, string | undefined>();
    for (const run of runs) {
      const key = run.name.slice(0, run.name.lastIndexOf('.'));
      const permitRequired = needsPermit(run);
      const ticket = permitRequired
        ? permits.ticket(key, run.session.incarnation.id, run.session.incarnation.born)
        : undefined;
      tickets.set(run, ticket);
      if (run.status !== 'logging' || stopped || (permitRequired && ticket === undefined))
        withdrawn.add(run);
    }
    for (const run of runs) {
      if (!run.step.step.gang || !withdrawn.has(run)) continue;
      for (const other of runs) if (other.step === run.step) withdrawn.add(other);
    }
    for (const run of runs) {
      if (withdrawn.has(run)) {
        events.info('order-withdrawn', {
          job: run.progress.job.id,
          task: run.name,
          run: run.number,
          worker: run.session.incarnation.id,
          status: run.status,
          ticketed: tickets.get(run) !== undefined,
        });
        run.session.withdraw(run);
      } else {
        run.progress.begun = true;
        void run.session.start(run, run.progress.job.spec, tickets.get(run));
      }
    }
  }

  function needsPermit(run: Run): boolean {
    const { queue } = run.progress.job;
    const found = options.configuration()?.queues.find(({ name }) => name === queue);
    return found?.advice !== undefined;
  }

  schedule(IDLE_INTERVAL_MS);
  return {
    request,
    stop: () => {
      stopped = true;
      if (timer !== undefined) clearTimeout(timer);
    },
  };
}

/**
 * Returns a function that maps a step to its eligible workers, by id with the start of the incarnation and with the
 * most free processors first. Steps with the same service and label share one result.
 */
function createWorkerLookup({
  sessionsById,
}: Round): (step: WaitingStep) => ReadonlyMap<string, number> {
  const freeProcessors = ({ worker, used }: WorkerSession) =>
    worker.room.processors - used.processors;
  const byFreeProcessors = [...sessionsById.values()].sort(
    (left, right) => freeProcessors(right) - freeProcessors(left),
  );
  const lists = new Map<string, ReadonlyMap<string, number>>();
  return ({ service, requiredLabel }) => {
    const key = `${service} ${requiredLabel ?? ''}`;
    const known = lists.get(key);
    if (known !== undefined) return known;
    const list = new Map<string, number>();
    for (const { worker, incarnation } of byFreeProcessors) {
      if (worker.service !== service) continue;
      if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel)) continue;
      list.set(incarnation.id, incarnation.born);
    }
    lists.set(key, list);
    return list;
  };
}
