/**
 * Draws steps of tasks that run on workers of given speeds, and feeds their ends to a forecast in the order of time. A
 * worker runs one task at a time, and each free worker takes the next task.
 */
import { createForecast } from '../../src/forecast/index.js';
import type { Forecast, StepWork } from '../../src/forecast/index.js';
import { createRandom } from '../../stand-ins/random.js';

export interface SimulatedWorkers {
  readonly forecast: Forecast;
  readonly speeds: number[];
  /** Lets so many tasks end. */
  run(ends: number): void;
  readonly learnedSpeeds: () => number[];
  /** Expected work at speed 1 of a task that is new. */
  expectWork(queue: string, estimateMs: number): number;
  /** Number of tasks that have ended on the worker. */
  endsOn(worker: number): number;
}

export interface SimulatedQueue {
  readonly name: string;
  /** Largest relative error of an estimate. */
  readonly error: number;
  /** Factor on all estimates. */
  readonly bias?: number;
  readonly tasks: number;
  readonly meanMs: number;
}

/** Urgent work and other work, as on a cell of workers with unknown speeds. */
export const QUEUES: readonly SimulatedQueue[] = [
  { name: 'urgent', error: 0.2, tasks: 3, meanMs: 540 },
  { name: 'batch', error: 0.5, tasks: 25, meanMs: 2900 },
  { name: 'rough', error: 0.9, tasks: 25, meanMs: 2900 },
];

/** The work of a step's tasks lies within this part of their mean. */
const TASK_SPREAD = 0.15;

export function simulateWorkers(options: {
  readonly speeds: readonly number[];
  readonly queues: readonly SimulatedQueue[];
  readonly seed: number;
}): SimulatedWorkers {
  const { queues, seed } = options;
  const speeds = [...options.speeds];
  const random = createRandom(seed);
  const between = (low: number, high: number) => low + (high - low) * random();
  let now = 0;
  const forecast = createForecast({ now: () => now });
  const running: { step: StepWork; workMs: number; startedAt: number; endsAt: number }[] = [];
  const counts = speeds.map(() => 0);
  const waiting: { step: StepWork; workMs: number }[] = [];
  let steps = 0;

  function drawStep() {
    const queue = queues[steps % queues.length];
    if (queue === undefined) throw new Error('no queue');
    steps += 1;
    // Job sizes spread widely: by a factor of 3 in both directions.
    const workMs = queue.meanMs * Math.exp(between(-1.1, 1.1));
    const estimateMs = workMs * (queue.bias ?? 1) * (1 + between(-queue.error, queue.error));
    const { name, tasks: count } = queue;
    const step = { key: `step-${String(steps)}`, service: 'rota', queue: name, count, estimateMs };
    for (let task = 0; task < count; task += 1) {
      waiting.push({ step, workMs: workMs * (1 + between(-TASK_SPREAD, TASK_SPREAD)) });
    }
  }

  function start(worker: number) {
    // Tasks of several steps wait, so that a step does not run on neighbouring workers only.
    while (waiting.length < 4 * speeds.length) drawStep();
    const [task] = waiting.splice(Math.floor(random() * Math.min(60, waiting.length)), 1);
    if (task === undefined) return;
    const endsAt = now + task.workMs / (speeds[worker] ?? 1);
    running[worker] = { ...task, startedAt: now, endsAt };
  }

  function endNext() {
    const next = running.reduce((first, { endsAt }, worker) => {
      return endsAt < (running[first]?.endsAt ?? Infinity) ? worker : first;
    }, 0);
    const run = running[next];
    if (run === undefined) return;
    now = run.endsAt;
    counts[next] = (counts[next] ?? 0) + 1;
    // An end is known within 20 ms.
    const tookMs = now - run.startedAt + between(0, 20);
    forecast.learnEnd(run.step, { id: `w${String(next)}`, born: 1 }, tookMs);
    start(next);
  }

  for (let worker = 0; worker < speeds.length; worker += 1) start(worker);
  return {
    forecast,
    speeds,
    run: (ends) => {
      for (let end = 0; end < ends; end += 1) endNext();
    },
    learnedSpeeds: () =>
      speeds.map((_, worker) => forecast.speedOf({ id: `w${String(worker)}`, born: 1 })),
    expectWork: (queue, estimateMs) =>
      forecast.workOf({ key: 'new', service: 'rota', queue, count: 1, estimateMs }).workMs,
    endsOn: (worker) => counts[worker] ?? 0,
  };
}
