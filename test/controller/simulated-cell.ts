/**
 * Plays the planner, the permits and the health of workers on a clock of its own, without sessions and a store: rounds
 * take place every 50 ms, a query is answered in the next one, and runs end as the jobs' fates say.
 */
import { createPermitClient } from '../../src/controller/permit-client.js';
import {
  createWorkerLookup,
  describePermitRequests,
} from '../../src/controller/permit-requests.js';
import { subtractResources } from '../../src/model/index.js';
import { createEventLog, createMeters } from '../../src/observability/index.js';
import type { AdviceAnswer, AdviceCaller } from '../../src/advice/index.js';
import type { PlacementBarrier, WaitingStep } from '../../src/planner/index.js';
import { createWorkerHealth, orderSteps, planRound } from '../../src/planner/index.js';
import type { Queue } from '../../src/queues/index.js';
import { amount, candidate, waiting } from '../planner/support.js';

/**
 * - `sound`: runs once its workers have room.
 * - `failing`: all of its runs fail.
 * - `oversized`, `unlabelled`: fits on no worker, or needs a label that none has.
 * - `elsewhere`: the advice service allows it only a worker that is too small.
 * - `limited`, `over-limit`: its team is at its limit, or has one that is less than a task.
 */
export type Fate =
  'sound' | 'failing' | 'oversized' | 'unlabelled' | 'elsewhere' | 'limited' | 'over-limit';

export interface SimulatedJob {
  readonly name: string;
  readonly fate: Fate;
  readonly gang: boolean;
  readonly count: number;
  readonly cores: number;
}

export interface SimulationResult {
  /** Sound jobs that have not ended. */
  readonly unfinished: readonly string[];
  /** Longest time for which nothing ran although sound jobs waited and the workers were empty. */
  readonly idleMs: number;
}

interface Run {
  readonly job: JobState;
  readonly worker: string;
  readonly endsAt: number;
}

interface JobState {
  readonly job: SimulatedJob;
  readonly waitingTasks: Set<number>;
  readonly failedOn: Set<string>;
  done: number;
  failures: number;
  running: number;
}

const ROUND_MS = 50;
const WORK_MS = 1000;
const VALID_MS = 2500;
const MAX_ATTEMPTS = 3;
const WORKERS = [
  { id: 'w0', room: amount(8) },
  { id: 'w1', room: amount(8) },
  { id: 'w2', room: amount(8) },
  { id: 'small', room: amount(1) },
];
const ADVICE = { decideMs: 12, perWorkerMs: 0.2, validMs: VALID_MS };
const QUEUE = { name: 'lookup', advice: ADVICE } as Queue;

/** Plays until all sound jobs have ended, or `untilMs`. The workers are full of other work until `openAtMs`. */
export async function simulate(
  jobs: readonly SimulatedJob[],
  { openAtMs, untilMs }: { readonly openAtMs: number; readonly untilMs: number },
): Promise<SimulationResult> {
  let now = 0;
  let runs: Run[] = [];
  let idleSince = openAtMs;
  let idleMs = 0;
  const states = jobs.map(startState);
  const health = createWorkerHealth({ now: () => now });
  const advice = createAdvice(jobs);
  const permits = createPermitClient({
    callers: () => advice.callers,
    events: createEventLog({ base: {}, level: 'silent' }),
    meters: createMeters(),
    onPermits: () => undefined,
    now: () => now,
  });

  function endRuns() {
    const ended = runs.filter(({ endsAt }) => endsAt <= now);
    runs = runs.filter(({ endsAt }) => endsAt > now);
    for (const { job: state, worker } of ended) {
      const succeeded = state.job.fate === 'sound';
      state.running -= 1;
      // Of a gang one member fails, and the others end as broken.
      if (succeeded || !state.job.gang || state.running === 0)
        health.record(worker, state.job.name, succeeded);
      if (succeeded) state.done += 1;
      else state.failedOn.add(worker);
      if (succeeded || state.running > 0) continue;
      state.failures += 1;
      if (state.failures < MAX_ATTEMPTS) refill(state);
    }
  }

  const usedOn = (id: string) =>
    runs.filter(({ worker }) => worker === id).reduce((sum, { job }) => sum + job.job.cores, 0);

  function plan(round: number) {
    const free = ({ id, room }: (typeof WORKERS)[number]) =>
      now < openAtMs ? amount(0) : subtractResources(room, amount(usedOn(id)));
    const workers = WORKERS.map((worker) =>
      candidate(worker.id, {
        room: worker.room,
        free: free(worker),
        healthStatus: health.statusOf(worker.id),
        runs: runs.filter((run) => run.worker === worker.id).length,
      }),
    );
    const described = states
      .filter(({ waitingTasks }) => waitingTasks.size > 0)
      .map((state, index) => describeStep(state, index));
    const steps = orderSteps(described, now);
    const barriers = new Map<string, PlacementBarrier>();
    const placements = planRound({
      nowMs: now,
      workers,
      steps,
      round,
      budgets: new Map([
        ['full', { limit: amount(4), used: amount(4) }],
        ['tiny', { limit: amount(1), used: amount(0) }],
      ]),
      onBlocked: ({ key }, barrier) => barriers.set(key, barrier),
    });
    for (const { step, task, worker } of placements) start(step.key, task, worker);
    permits.requestMissing(
      describePermitRequests({
        steps,
        barriers,
        round,
        queueOf: () => QUEUE,
        tasksOf: ({ key }) => find(key).waitingTasks.size,
        workersOf: createWorkerLookup(() =>
          workers.map((worker) => ({
            incarnation: { id: worker.id, born: 1 },
            worker: { ...worker, incarnation: { id: worker.id, born: 1 } } as never,
            used: subtractResources(worker.room, free(worker)),
          })),
        ),
      }),
    );
  }

  function describeStep({ job, waitingTasks, failedOn }: JobState, index: number): WaitingStep {
    return waiting(job.name, {
      ...REQUIREMENTS[job.fate],
      size: amount(job.fate === 'oversized' ? 9 : job.cores),
      objectiveAtMs: index,
      // Of no use any more, so that the oldest jobs come first.
      uselessAtMs: -1,
      tasks: [...waitingTasks],
      waiting: waitingTasks.size,
      gang: job.gang,
      avoids: (_task, worker) => failedOn.has(worker),
      constraint: {
        known: permits.isKnown(job.name),
        startable: (workers) => permits.startable(job.name, workers, () => 1),
        runnable: (workers) => permits.runnable(job.name, workers),
      },
    });
  }

  function start(name: string, task: number, worker: string) {
    const state = find(name);
    state.waitingTasks.delete(task);
    state.running += 1;
    runs.push({ job: state, worker, endsAt: now + WORK_MS });
  }

  function find(name: string): JobState {
    const found = states.find(({ job }) => job.name === name);
    if (found === undefined) throw new Error(`no job ${name}`);
    return found;
  }

  const unfinished = () =>
    states.filter(({ job, done }) => job.fate === 'sound' && done < job.count);
  for (let round = 0; now < untilMs && unfinished().length > 0; round += 1) {
    now += ROUND_MS;
    endRuns();
    await advice.answerAll();
    plan(round);
    if (runs.length > 0 || now < openAtMs) idleSince = Math.max(now, openAtMs);
    idleMs = Math.max(idleMs, now - idleSince);
  }
  return { unfinished: unfinished().map(({ job }) => job.name), idleMs };
}

const REQUIREMENTS: Record<Fate, Partial<WaitingStep>> = {
  sound: {},
  failing: {},
  oversized: {},
  unlabelled: { requiredLabel: 'none' },
  elsewhere: {},
  limited: { team: 'full' },
  'over-limit': { team: 'tiny' },
};

function startState(job: SimulatedJob): JobState {
  const state = {
    job,
    waitingTasks: new Set<number>(),
    failedOn: new Set<string>(),
    done: 0,
    failures: 0,
    running: 0,
  };
  refill(state);
  return state;
}

function refill({ job, waitingTasks }: JobState) {
  for (let task = 0; task < job.count; task += 1) waitingTasks.add(task);
}

/** Three hosts whose queries are answered when the test says so. */
function createAdvice(jobs: readonly SimulatedJob[]) {
  let answers: (() => void)[] = [];
  const elsewhere = new Set(jobs.filter(({ fate }) => fate === 'elsewhere').map((job) => job.name));
  const advise = (step: string, workers: readonly string[]) =>
    new Promise<AdviceAnswer>((resolve) => {
      const allowed = workers.filter((id) => (id === 'small') === elsewhere.has(step));
      answers.push(() => {
        resolve({
          permits: allowed.map((worker) => ({ worker, ticket: `${step} ${worker}` })),
          validMs: VALID_MS,
        });
      });
    });
  const callers: AdviceCaller[] = ['a', 'b', 'c'].map((name) => ({ name, advise }));
  return {
    callers,
    answerAll: async () => {
      const due = answers;
      answers = [];
      for (const answer of due) answer();
      await new Promise((resolve) => setImmediate(resolve));
    },
  };
}
