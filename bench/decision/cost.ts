/**
 * Measures the time per decision and the heap size of the scheduler for given numbers of workers, tasks and teams.
 */
import { createRandom, type Random } from '../../stand-ins/random.js';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Scheduler, Decision } from '../../src/scheduling/index.js';
import { createCell, createRequest, createTeams, createWorkers, drawWork } from './cell.js';

export interface CellSize {
  readonly workers: number;
  readonly tasks: number;
  readonly teams: number;
}

export interface DecisionCost extends CellSize {
  readonly state: 'room' | 'full';
  readonly queued: number;
  readonly decisions: number;
  /** Time of one `next`, in microseconds. */
  readonly p50: number;
  readonly p99: number;
  readonly max: number;
  /** Cycles of enqueue, next and finished per second. */
  readonly perSecond: number;
  readonly bytes: number;
}

const MEASURED_DECISIONS = 4_000;
const WARM_UP_DECISIONS = 1_000;
const BACKLOG_PER_TEAM = 20;
const INTERACTIVE_SHARE = 0.7;

interface Driver {
  readonly scheduler: Scheduler;
  readonly running: Decision[];
  readonly enqueue: () => void;
  /** Advances the clock by the interval between starts at 340 starts per second. */
  readonly tick: () => void;
  readonly random: Random;
}

function createDriver(size: CellSize, seed: number): Driver {
  const random = createRandom(seed);
  const teams = createTeams(size.teams);
  const clock = { now: 1_000_000 };
  const now = () => clock.now;
  const scheduler = createCell({ workers: createWorkers(size.workers), teams, now, random });
  let lastId = 0;
  return {
    scheduler,
    running: [],
    random,
    tick: () => {
      clock.now += 1_000 / 340;
    },
    enqueue: () => {
      lastId += 1;
      const team = teams[Math.floor(random() * teams.length)]?.name ?? 'team-0';
      const work = drawWork(random, INTERACTIVE_SHARE);
      scheduler.enqueue(createRequest(lastId, { ...work, team, at: now() }));
    },
  };
}

function startOne({ scheduler, running }: Driver): boolean {
  const decision = scheduler.next();
  if (decision) running.push(decision);
  return decision !== undefined;
}

function finishOne({ scheduler, running, random }: Driver) {
  const index = Math.floor(random() * running.length);
  const ended = running[index];
  const last = running.pop();
  if (!ended || !last) return;
  if (ended !== last) running[index] = last;
  scheduler.finished(ended.task, ended.worker);
}

/** Starts tasks up to the wanted number, or until no worker has capacity for any queued work. */
function fillCell(driver: Driver, size: CellSize, state: DecisionCost['state']) {
  const wanted = state === 'full' ? Infinity : size.tasks;
  const backlog = size.teams * BACKLOG_PER_TEAM;
  for (let n = 0; n < backlog; n += 1) driver.enqueue();
  let failures = 0;
  while (driver.running.length < wanted && failures < 3) {
    if (startOne(driver)) {
      driver.enqueue();
      failures = 0;
    } else failures += 1;
    driver.tick();
  }
}

function collectGarbage() {
  setFlagsFromString('--expose_gc');
  const collect = runInNewContext('gc') as () => void;
  // Some objects become unreachable only in the first pass and are collected in the second.
  collect();
  collect();
}

function heapUsed(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Measures each `next` in a steady state, in which one task ends and one request arrives per start. */
export function measureCost(
  size: CellSize,
  state: DecisionCost['state'],
  seed: number,
): DecisionCost {
  const before = heapUsed();
  const driver = createDriver(size, seed);
  fillCell(driver, size, state);
  const bytes = heapUsed() - before;
  const { queued } = driver.scheduler.load();
  const tasks = driver.running.length;
  const times: number[] = [];
  let cycleStart = 0;
  for (let n = 0; n < WARM_UP_DECISIONS + MEASURED_DECISIONS; n += 1) {
    if (n === WARM_UP_DECISIONS) cycleStart = performance.now();
    driver.tick();
    finishOne(driver);
    driver.enqueue();
    const started = performance.now();
    startOne(driver);
    if (n >= WARM_UP_DECISIONS) times.push((performance.now() - started) * 1_000);
  }
  const perSecond = MEASURED_DECISIONS / ((performance.now() - cycleStart) / 1_000);
  times.sort((left, right) => left - right);
  const at = (fraction: number) => times[Math.floor(fraction * (times.length - 1))] ?? 0;
  return {
    ...size,
    tasks,
    state,
    queued: queued.interactive + queued.batch,
    decisions: times.length,
    p50: at(0.5),
    p99: at(0.99),
    max: at(1),
    perSecond,
    bytes,
  };
}

/** Slope of a least-squares line. */
export function fitSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  return variance === 0 ? 0 : covariance / variance;
}
