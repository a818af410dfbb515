/**
 * Plays rounds of the planner on a cell of 192 workers whose speeds differ, on a clock of its own: gangs of 20 tasks of
 * 18 cores (5 s), deferrable steps of 25 tasks of 7 cores (2.5 s) and urgent steps of 3 tasks of 10 cores (0.55 s). A
 * gang may run on 35 % of the workers. Estimates are off by up to 20 %. Equal options give equal results.
 */
import { planRound } from '../../src/planner/index.js';
import type { CandidateWorker, Hold, Placement, WaitingStep } from '../../src/planner/index.js';
import { createDraw } from './generated-cells.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

export interface PlayOptions {
  /** Part of the cell's capacity that arrives as work. */
  readonly load: number;
  /** What the planner is told of each worker's speed; by default its speed with an error of 3 %. */
  readonly perceive?: (speed: number, index: number) => number;
  /** What the planner is told of when a run ends; by default the end by its estimate. */
  readonly foresee?: (nowMs: number, expectedMs: number) => number;
  readonly remoteFactor?: number;
  /** Part of the deferrable steps that have a data rack. */
  readonly rackShare?: number;
}

export interface ClassResult {
  readonly onTime: number;
  /** Mean time from the arrival of a job to its end. */
  readonly meanMs: number;
}

export interface PlayResult {
  readonly gang: ClassResult;
  readonly deferrable: ClassResult;
  readonly urgent: ClassResult;
  readonly local: number;
  readonly remote: number;
}

interface JobClass {
  readonly name: 'gang' | 'deferrable' | 'urgent';
  readonly tasks: number;
  readonly cores: number;
  readonly workMs: number;
  /** Part of the load. */
  readonly share: number;
  readonly stretch: number;
  readonly latencyMs: number;
}

interface Job {
  readonly step: WaitingStep;
  readonly class: JobClass;
  readonly arrivedMs: number;
  readonly workMs: number;
  readonly waitingTasks: Set<number>;
  unfinished: number;
  endedMs: number;
}

interface Run {
  readonly job: Job;
  readonly worker: PlayedWorker;
  endMs: number;
  expectedMs: number;
}

interface PlayedWorker {
  readonly id: string;
  readonly index: number;
  readonly speed: number;
  readonly rack: string;
  runs: Run[];
}

const WORKERS = 192;
const SPEEDS = [0.7, 0.7, 1.7];
const WORKERS_IN_RACK = 8;
const CORES = 64;
const ARRIVALS_MS = 10_000;
const ROUND_MS = 30;
/** Time from a placement to the start of the task. */
const START_MS = 60;
const TRUE_REMOTE_FACTOR = 2;
const CLASSES: readonly JobClass[] = [
  { name: 'gang', tasks: 20, cores: 18, workMs: 5000, share: 0.35, stretch: 2, latencyMs: 3000 },
  {
    name: 'deferrable',
    tasks: 25,
    cores: 7,
    workMs: 2500,
    share: 0.5,
    stretch: 3,
    latencyMs: 3000,
  },
  { name: 'urgent', tasks: 3, cores: 10, workMs: 550, share: 0.15, stretch: 1.5, latencyMs: 275 },
];

export function playCell(options: PlayOptions): PlayResult {
  const draw = createDraw(20261207);
  const fraction = () => draw(1_000_000) / 1_000_000;
  const workers = Array.from({ length: WORKERS }, (_, index) => ({
    id: `w${String(index)}`,
    index,
    speed: SPEEDS[index % SPEEDS.length] ?? 1,
    rack: `r${String(Math.floor(index / WORKERS_IN_RACK))}`,
    runs: [] as Run[],
  }));
  const jobs = drawJobs(options, fraction);
  const holds = new Map<string, Hold>();
  const places = { local: 0, remote: 0 };

  function start({ step, task, worker: id, place }: Placement, nowMs: number): Run {
    const job = jobs.find((one) => one.step.key === step.key);
    const worker = workers.find((one) => one.id === id);
    if (job === undefined || worker === undefined) throw new Error(`no job or worker ${id}`);
    if (place !== undefined) places[place] += 1;
    const factor = place === 'remote' ? TRUE_REMOTE_FACTOR : 1;
    const startMs = nowMs + START_MS;
    const endMs = startMs + (job.workMs * factor * (0.93 + 0.14 * fraction())) / worker.speed;
    const run = { job, worker, endMs, expectedMs: startMs + (step.workMs * factor) / worker.speed };
    worker.runs.push(run);
    job.waitingTasks.delete(task);
    return run;
  }

  const isUnfinished = (job: Job) => job.unfinished > 0;
  for (let nowMs = 0; nowMs < 5 * ARRIVALS_MS && jobs.some(isUnfinished); nowMs += ROUND_MS) {
    for (const worker of workers) endRuns(worker, nowMs);
    const placed = planRound({
      nowMs,
      workers: workers.map((worker) => describeWorker(worker, nowMs, options)),
      steps: jobs.filter((job) => job.arrivedMs <= nowMs).flatMap(describeStep),
      budgets: new Map(),
      round: nowMs / ROUND_MS,
      remoteFactor: options.remoteFactor,
      holds,
    });
    const runs = placed.map((placement) => start(placement, nowMs));
    // The members of a gang end together.
    for (const job of new Set(runs.map((run) => run.job).filter(({ step }) => step.gang))) {
      const members = runs.filter((run) => run.job === job);
      const endMs = Math.max(...members.map((run) => run.endMs));
      const expectedMs = Math.max(...members.map((run) => run.expectedMs));
      for (const member of members) Object.assign(member, { endMs, expectedMs });
    }
  }
  return {
    gang: summarize(jobs, 'gang'),
    deferrable: summarize(jobs, 'deferrable'),
    urgent: summarize(jobs, 'urgent'),
    ...places,
  };
}

function drawJobs({ load, rackShare = 0 }: PlayOptions, fraction: () => number): Job[] {
  const meanSpeed = SPEEDS.reduce((sum, speed) => sum + speed, 0) / SPEEDS.length;
  const capacity = WORKERS * CORES * meanSpeed;
  return CLASSES.flatMap((jobClass) => {
    const { tasks, cores, workMs, share } = jobClass;
    const intervalMs = (tasks * cores * workMs) / (load * share * capacity);
    const jobs: Job[] = [];
    for (let atMs = 0; atMs < ARRIVALS_MS; atMs -= Math.log(1 - fraction()) * intervalMs) {
      jobs.push(drawJob(jobClass, { atMs, index: jobs.length, rackShare }, fraction));
    }
    return jobs;
  });
}

interface Arrival {
  readonly atMs: number;
  readonly index: number;
  readonly rackShare: number;
}

function drawJob(
  jobClass: JobClass,
  { atMs, index, rackShare }: Arrival,
  fraction: () => number,
): Job {
  const { name, tasks, cores, stretch, latencyMs } = jobClass;
  const workMs = jobClass.workMs * (0.9 + 0.2 * fraction());
  const estimateMs = workMs * (0.8 + 0.4 * fraction());
  const objectiveMs = stretch * workMs + latencyMs;
  const hasRack = name === 'deferrable' && fraction() < rackShare;
  const permitted = Array.from({ length: WORKERS }, (_, worker) => `w${String(worker)}`).filter(
    () => fraction() < 0.35,
  );
  const waitingTasks = new Set(Array.from({ length: tasks }, (_, task) => task));
  const step = waiting(`${name}-${String(index)}`, {
    priority: name === 'urgent' ? 0 : 1,
    objectiveAtMs: atMs + objectiveMs,
    uselessAtMs: atMs + 3 * objectiveMs,
    remainingMs: estimateMs,
    workMs: estimateMs,
    size: amount(cores),
    gang: name === 'gang',
    dataRack: hasRack ? `r${String(Math.floor(fraction() * 6))}` : undefined,
    constraint: name === 'gang' ? constrainTo(permitted) : undefined,
  });
  return {
    step,
    class: jobClass,
    arrivedMs: atMs,
    workMs,
    waitingTasks,
    unfinished: tasks,
    endedMs: Infinity,
  };
}

function endRuns(worker: PlayedWorker, nowMs: number) {
  for (const { job, endMs } of worker.runs.filter((run) => run.endMs <= nowMs)) {
    job.unfinished -= 1;
    if (job.unfinished === 0) job.endedMs = endMs;
  }
  worker.runs = worker.runs.filter((run) => run.endMs > nowMs);
}

function describeWorker(
  { id, index, speed, rack, runs }: PlayedWorker,
  nowMs: number,
  options: PlayOptions,
): CandidateWorker {
  const { perceive = (real: number) => real * (0.97 + (index % 7) / 100) } = options;
  const { foresee = (now: number, expected: number) => Math.max(now + ROUND_MS, expected) } =
    options;
  const used = runs.reduce((sum, { job }) => sum + job.class.cores, 0);
  return candidate(id, {
    rack,
    room: amount(CORES),
    free: amount(CORES - used),
    speed: perceive(speed, index),
    releases: () =>
      runs
        .map(({ job, expectedMs }) => ({ atMs: foresee(nowMs, expectedMs), size: job.step.size }))
        .sort((left, right) => left.atMs - right.atMs),
    runs: runs.length,
  });
}

function describeStep({ step, waitingTasks }: Job): WaitingStep[] {
  if (waitingTasks.size === 0) return [];
  return [{ ...step, tasks: [...waitingTasks], waiting: waitingTasks.size }];
}

function summarize(jobs: readonly Job[], name: JobClass['name']): ClassResult {
  const all = jobs.filter((job) => job.class.name === name);
  const onTime = all.filter(({ step, endedMs }) => endedMs <= step.objectiveAtMs).length;
  const total = all.reduce((sum, { endedMs, arrivedMs }) => sum + endedMs - arrivedMs, 0);
  return { onTime: onTime / all.length, meanMs: Math.round(total / all.length) };
}
