/**
 * Measures the time of the leader's planning rounds with many workers and waiting steps: without a forecast, with one
 * that has learned nothing, and with one that learns. Usage:
 * `node dist/bench/planning.js [--workers N] [--steps N] [--rounds N] [--repeats N]`.
 *
 * The dispatcher is the leader's own; sessions, permits and the store are replaced by objects in memory. The cell is
 * full, and before each round some runs end, whose room the round gives to waiting tasks.
 */
import { parseArgs } from 'node:util';
import { createCell, createJobEntry } from '../src/controller/cell.js';
import { createDispatcher } from '../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../src/controller/dispatcher.js';
import type { Run } from '../src/controller/run.js';
import { createRunForecast } from '../src/controller/run-forecast.js';
import type { RunForecast } from '../src/controller/run-forecast.js';
import type { WorkerSession } from '../src/controller/worker-session-types.js';
import type { Step } from '../src/jobs/index.js';
import { createProgress, setPhase } from '../src/jobs/index.js';
import { addResources, NO_RESOURCES, subtractResources } from '../src/model/index.js';
import { createMeters, SILENT_EVENTS } from '../src/observability/index.js';
import { createRandom } from '../stand-ins/random.js';

const ENDS_PER_ROUND = 30;
const WARM_UP_ROUNDS = 60;
/** The last of so many computations of all releases is reported. */
const RELEASE_REPEATS = 20;
const SPEEDS = [0.7, 0.7, 1.7];
const ROOM = { processors: 64, memoryMb: 64_000, accelerators: 0 };
const URGENT = { queue: 'urgent', count: 3, processors: 10, workMs: 540 };
const BATCH = { queue: 'batch', count: 25, processors: 7, workMs: 2900 };

interface Case {
  readonly workers: number;
  readonly steps: number;
  readonly forecast: RunForecast;
  /** Whether the forecast learns from the ends. */
  readonly learns: boolean;
}

/** A forecast that answers with the estimates at once, as the dispatcher did before it had one. */
function createNeutralForecast(): RunForecast {
  const forecast = createRunForecast();
  return {
    ...forecast,
    speedOf: () => 1,
    releasesOf: () => [],
    outlookOf: ({ entry }) => ({
      workMs: entry.progress.job.steps.map(({ estimateMs }) => estimateMs),
      criticalPathMs: entry.criticalPathMs,
      objectiveAtMs: entry.objectiveAtMs,
      uselessAtMs: entry.uselessAtMs,
    }),
  };
}

function createSession(index: number): WorkerSession {
  const runs = new Map<string, Run>();
  let used = NO_RESOURCES;
  const incarnation = { id: `w${String(index)}`, born: 1 };
  const session = {
    incarnation,
    worker: {
      incarnation,
      service: 'rota',
      dataCentre: `dc${String(index % 3)}`,
      rack: `r${String(index % 40)}`,
      labels: [],
      room: ROOM,
    },
    runs,
    get used() {
      return used;
    },
    attach: (run: Run) => {
      runs.set(run.name, run);
      used = addResources(used, run.size);
    },
    detach: (run: Run) => {
      runs.delete(run.name);
      used = subtractResources(used, run.size);
    },
  };
  return session as unknown as WorkerSession;
}

function createJob(number: number, random: () => number) {
  const { queue, count, processors, workMs } = number % 3 === 0 ? URGENT : BATCH;
  const estimateMs = workMs * (0.3 + 2 * random());
  const size = { processors, memoryMb: processors * 500, accelerators: 0 };
  const step: Step = {
    count,
    size,
    estimateMs,
    after: [],
    gang: false,
    checkpointing: false,
    rackSensitive: false,
    speculative: false,
    longRunning: false,
  };
  const progress = createProgress({
    id: `job-${String(number)}`,
    team: `team-${String(number % 12)}`,
    queue,
    service: 'rota',
    spec: '',
    steps: [step],
    acceptedAtMs: Date.now(),
    acceptedBy: '',
  });
  return createJobEntry({ progress, queue: undefined, beyondShare: false });
}

/** Returns the milliseconds of each round, and the microseconds of learning from an end. */
async function measure({ workers, steps, forecast, learns }: Case, rounds: number) {
  const random = createRandom(1);
  const sessions = Array.from({ length: workers }, (_, index) => createSession(index));
  const cell = createCell({ now: () => performance.now(), onStepSettled: () => undefined });
  for (let number = 0; number < steps; number += 1) cell.add(createJob(number, random));
  const dispatcher = createDispatcher({
    cell,
    sessions: { usable: () => sessions, all: () => sessions, acceptsWork: () => true },
    lifecycle: { registerRun: () => undefined },
    permits: { requestMissing: () => undefined },
    health: { statusOf: () => 'trusted' },
    events: SILENT_EVENTS,
    meters: createMeters(),
    configuration: () => ({ queues: [], teams: [] }),
    write: () => new Promise(() => undefined),
    renewedAt: () => undefined,
    orderWindow: { allowsPlacement: true, remainingMs: () => 1000 },
    fleetAgeMs: () => 0,
    forecast,
  } as unknown as DispatcherOptions);
  let learnedMs = 0;
  let ends = 0;

  /** Ends a run of a drawn worker; its task waits again, so that the backlog stays as it is. */
  function endRun() {
    const index = Math.floor(random() * workers);
    const session = sessions[index] as (WorkerSession & { detach(run: Run): void }) | undefined;
    const [run] = session?.runs.values() ?? [];
    if (session === undefined || run === undefined) return;
    const speed = SPEEDS[index % SPEEDS.length] ?? 1;
    run.startedClockMs = 0;
    run.endedClockMs = (run.step.step.estimateMs * (0.8 + 0.4 * random())) / speed;
    const startedAt = performance.now();
    if (learns) forecast.learnEnd(run);
    learnedMs += performance.now() - startedAt;
    ends += 1;
    session.detach(run);
    run.task.worker = undefined;
    setPhase(run.step, run.task, 'waiting');
    const entry = cell.jobs.get(run.progress.job.id);
    if (entry !== undefined) cell.refresh(entry);
  }

  const times: number[] = [];
  while (times.length < WARM_UP_ROUNDS + rounds) {
    const { rounds: before, tookMs } = dispatcher.effort;
    for (let end = 0; end < ENDS_PER_ROUND; end += 1) endRun();
    dispatcher.request();
    while (dispatcher.effort.rounds === before) {
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
    times.push(dispatcher.effort.tookMs - tookMs);
  }
  dispatcher.stop();
  let releases = 0;
  let releasesMs = 0;
  for (let repeat = 0; repeat < RELEASE_REPEATS; repeat += 1) {
    const startedAt = performance.now();
    releases = sessions.flatMap((session) => forecast.releasesOf(session, Date.now())).length;
    releasesMs = performance.now() - startedAt;
  }
  const waiting = cell.ready.size;
  const runs = sessions.reduce((sum, session) => sum + session.runs.size, 0);
  return {
    waiting,
    runs,
    ...quantiles(times.slice(WARM_UP_ROUNDS)),
    'learn us': ((1000 * learnedMs) / ends).toFixed(1),
    releases,
    'releases ms': releasesMs.toFixed(1),
  };
}

function quantiles(times: readonly number[]) {
  const sorted = times.toSorted((left, right) => left - right);
  const at = (fraction: number) =>
    (sorted[Math.floor(fraction * (sorted.length - 1))] ?? 0).toFixed(2);
  return { 'p10 ms': at(0.1), 'p50 ms': at(0.5), 'p90 ms': at(0.9), 'max ms': at(1) };
}

const { values } = parseArgs({
  options: {
    workers: { type: 'string', default: '380' },
    steps: { type: 'string', default: '450' },
    rounds: { type: 'string', default: '200' },
    repeats: { type: 'string', default: '3' },
  },
});
const results: object[] = [];
for (let repeat = 0; repeat < Number(values.repeats); repeat += 1) {
  const size = { workers: Number(values.workers), steps: Number(values.steps) };
  const cases = {
    before: { ...size, forecast: createNeutralForecast(), learns: false },
    unlearned: { ...size, forecast: createRunForecast(), learns: false },
    learned: { ...size, forecast: createRunForecast(), learns: true },
  };
  for (const [name, planned] of Object.entries(cases)) {
    results.push({ name, ...(await measure(planned, Number(values.rounds))) });
  }
}
console.table(results);
