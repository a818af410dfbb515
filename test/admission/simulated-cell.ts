/**
 * A cell in simulated time: callers, hosts with their gates, a leader that places tasks in the planner's order and
 * publishes expected waits, and workers. It shows what becomes of jobs in a burst, without network and clock.
 */
import {
  createFlowMeter,
  createWaitGate,
  createWaitPublication,
  describeWaits,
  expectedWaits,
  expectedWorkMs,
} from '../../src/admission/index.js';
import type { WaitedQueue, WaitRecord } from '../../src/admission/index.js';
import { createShareMeter } from '../../src/controller/share-meter.js';
import { orderSteps } from '../../src/planner/index.js';
import type { WaitingStep } from '../../src/planner/index.js';
import { STEP } from '../jobs/support.js';

export interface SimulatedQueue extends WaitedQueue {
  readonly tasks: number;
  readonly processors: number;
  readonly workMs: number;
  /** Estimates are off by up to this part of the work. */
  readonly estimateError: number;
  /** Part of the cell's cores that the usual load takes. */
  readonly load: number;
}

export interface SimulationOptions {
  readonly queues: readonly SimulatedQueue[];
  readonly teams: readonly string[];
  /** Load of a team in a queue, relative to the usual one, at a time. */
  readonly loadFactor: (queue: string, team: string, atMs: number) => number;
  readonly durationMs: number;
  readonly workers?: number;
  readonly hosts?: number;
  /** Whether hosts refuse jobs. */
  readonly admission: boolean;
  readonly seed: number;
  /** A leader is elected at this time and knows nothing of what its predecessor measured. */
  readonly electedAtMs?: number;
}

export interface SimulatedJob {
  readonly queue: string;
  readonly team: string;
  readonly requestedAtMs: number;
  /** `useful`: ended while of use. `useless`: accepted, and ended too late or not at all. */
  outcome: 'refused' | 'useful' | 'useless';
  beyondShare: boolean;
  onTime: boolean;
}

const TICK_MS = 20;
const WORKER_CORES = 64;
const PUBLISH_MS = 400;
const PUBLICATION_DELAY_MS = 60;
const LEARNING_DELAY_MS = 20;
/** Jobs that are still open are left until nothing can be of use any more. */
const REST_MS = 40_000;

interface OpenJob {
  readonly job: SimulatedJob;
  readonly step: WaitingStep;
  readonly queue: SimulatedQueue;
  waiting: number;
  done: number;
}

export interface Simulation {
  readonly jobs: readonly SimulatedJob[];
  readonly publications: readonly WaitRecord[];
}

export function simulate(options: SimulationOptions): Simulation {
  const { queues, teams, workers = 32, hosts = 5 } = options;
  /** Arrivals do not depend on decisions, so that runs with and without refusals can be compared. */
  const arrivals = createRandom(options.seed);
  const random = createRandom(options.seed + 1);
  let nowMs = 0;
  const now = () => nowMs;
  const jobs: SimulatedJob[] = [];
  const publications: WaitRecord[] = [];
  const gates = Array.from({ length: hosts }, () => createWaitGate({ now, random }));
  const free = Array.from({ length: workers }, () => WORKER_CORES);
  let flow = createFlowMeter({ now });
  let share = createShareMeter({ now });
  let publication = createWaitPublication({ now });
  let epoch = 1;
  let revision = 1;
  let open: OpenJob[] = [];
  const events: { readonly atMs: number; readonly run: () => void }[] = [];
  const capacity = workers * WORKER_CORES;
  const rateOf = (queue: SimulatedQueue) =>
    (queue.load * capacity) / (queue.tasks * queue.processors * queue.workMs);
  const weightOf = () =>
    Math.ceil((1000 * queues.reduce((sum, queue) => sum + rateOf(queue), 0)) / teams.length);

  function submit(queue: SimulatedQueue, team: string) {
    const estimateMs = queue.workMs * (1 + queue.estimateError * (2 * arrivals() - 1));
    const requestedAtMs = nowMs;
    const job: SimulatedJob = {
      queue: queue.name,
      team,
      requestedAtMs,
      outcome: 'useless',
      beyondShare: false,
      onTime: false,
    };
    jobs.push(job);
    const size = { processors: queue.processors, memoryMb: 1, accelerators: 0 };
    const steps = [{ ...STEP, count: queue.tasks, size, estimateMs }];
    const gate = gates[Math.floor(arrivals() * hosts)];
    const { stretch, targetLatencyMs } = queue;
    const candidate = { queue: queue.name, team, steps, stretch, targetLatencyMs };
    if (options.admission && gate?.judge({ ...candidate, scheduled: false }) !== undefined) {
      job.outcome = 'refused';
      return;
    }
    gate?.recordAccepted(team);
    events.push({
      atMs: nowMs + LEARNING_DELAY_MS,
      run: () => {
        learn(job, queue, estimateMs);
      },
    });
  }

  function learn(job: SimulatedJob, queue: SimulatedQueue, estimateMs: number) {
    const objectiveMs = queue.stretch * estimateMs + queue.targetLatencyMs;
    job.beyondShare = share.recordJob(job.team, weightOf());
    flow.noteArrival({
      service: queue.service,
      team: job.team,
      urgent: queue.priority === 0,
      beyondShare: job.beyondShare,
      coreMs:
        queue.tasks * queue.processors * expectedWorkMs(estimateMs, flow.usualTask(queue.name)),
    });
    const step = {
      key: String(jobs.length),
      service: queue.service,
      team: job.team,
      priority: queue.priority,
      beyondShare: job.beyondShare,
      objectiveAtMs: job.requestedAtMs + objectiveMs,
      uselessAtMs: job.requestedAtMs + 3 * objectiveMs,
      remainingMs: estimateMs,
      size: { processors: queue.processors, memoryMb: 1, accelerators: 0 },
      workMs: estimateMs,
      gang: false,
      requiredLabel: undefined,
    } as unknown as WaitingStep;
    open.push({ job, step, queue, waiting: queue.tasks, done: 0 });
  }

  function place() {
    const byStep = new Map(open.map((entry) => [entry.step, entry]));
    for (const step of orderSteps([...byStep.keys()], nowMs)) {
      const entry = byStep.get(step);
      const cores = step.size.processors;
      for (let index = 0; entry !== undefined && entry.waiting > 0; index += 1) {
        const room = free[index];
        if (room === undefined) break;
        const count = Math.min(entry.waiting, Math.floor(room / cores));
        for (let started = 0; started < count; started += 1) start(entry, index);
      }
    }
    open = open.filter(({ waiting }) => waiting > 0);
  }

  function start(entry: OpenJob, worker: number) {
    const { queue, step } = entry;
    const cores = step.size.processors;
    const tookMs = queue.workMs * (0.85 + 0.3 * random());
    entry.waiting -= 1;
    free[worker] = (free[worker] ?? 0) - cores;
    events.push({
      atMs: nowMs + tookMs,
      run: () => {
        free[worker] = (free[worker] ?? 0) + cores;
        entry.done += 1;
        flow.noteEnd({
          queue: queue.name,
          service: queue.service,
          team: entry.job.team,
          processors: cores,
          accelerators: 0,
          tookMs,
          estimateMs: step.workMs,
          done: true,
        });
        if (entry.done < queue.tasks) return;
        entry.job.outcome = nowMs <= step.uselessAtMs ? 'useful' : 'useless';
        entry.job.onTime = nowMs <= step.objectiveAtMs;
      },
    });
  }

  function publish() {
    const service = queues[0]?.service ?? '';
    const busyCores = capacity - free.reduce((sum, room) => sum + room, 0);
    const rooms = free.map((processors) => ({ processors, memoryMb: 1000, accelerators: 0 }));
    const waits = expectedWaits({
      nowMs,
      work: open.map(({ step, queue, waiting }) => ({
        step,
        queue: queue.name,
        waiting,
        barrier: 'room',
      })),
      rooms: new Map([[service, { free: rooms, busyCores }]]),
      teamCores: new Map(),
      queues,
      flow,
    });
    const content = describeWaits({
      epoch,
      hosts,
      waits,
      usualTask: (queue) => flow.usualTask(queue),
      teams: share.scarce(),
    });
    const record = publication.next(content);
    if (record === undefined) return;
    publication.recordWritten(record);
    publications.push(record);
    const written = (revision += 1);
    events.push({
      atMs: nowMs + PUBLICATION_DELAY_MS,
      run: () => {
        for (const gate of gates) gate.update(record, written);
      },
    });
  }

  function arrive() {
    for (const queue of queues) {
      for (const team of teams) {
        const factor = options.loadFactor(queue.name, team, nowMs);
        const expected = (rateOf(queue) / teams.length) * factor * TICK_MS;
        const count = Math.floor(expected) + (arrivals() < expected % 1 ? 1 : 0);
        for (let index = 0; index < count; index += 1) submit(queue, team);
      }
    }
  }

  for (; nowMs < options.durationMs + REST_MS; nowMs += TICK_MS) {
    if (nowMs === options.electedAtMs) {
      flow = createFlowMeter({ now });
      share = createShareMeter({ now });
      publication = createWaitPublication({ now });
      epoch += 1;
    }
    const due = events.filter(({ atMs }) => atMs <= nowMs);
    const later = events.filter(({ atMs }) => atMs > nowMs);
    events.splice(0, events.length, ...later);
    for (const { run } of due) run();
    if (nowMs < options.durationMs) arrive();
    place();
    if (nowMs % PUBLISH_MS === 0) publish();
  }
  return { jobs, publications };
}

/** A small generator, so that a run can be repeated. */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}
