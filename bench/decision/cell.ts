/**
 * Synthetic cells for the decision benchmarks: workers, teams, randomly drawn requests, and a scheduler on the
 * workers' ledgers without sockets or store.
 */
import {
  NO_RESOURCES,
  type Resources,
  type WorkClass,
  type Worker,
  type WorkRequest,
} from '../../src/model/index.js';
import {
  createScheduler,
  type Scheduler,
  type SchedulerOptions,
} from '../../src/scheduling/index.js';
import { createHealthTracker, createLedger } from '../../src/workers/index.js';
import type { Random } from '../../stand-ins/random.js';

const RACK_SIZE = 8;
const SLOTS = 8;

/** Every third worker has four accelerators, about 1.3 per worker on average. */
export function createWorkers(count: number): readonly Worker[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${String(index)}`,
    dataCentre: 'dc1',
    rack: `rack-${String(Math.floor(index / RACK_SIZE))}`,
    url: 'http://127.0.0.1:1',
    capacity: { processors: 32, memoryMb: 131_072, accelerators: index % 3 === 0 ? 4 : 0 },
    slots: SLOTS,
    connections: 64,
    state: 'live',
  }));
}

export interface BenchTeam {
  readonly name: string;
  readonly share: number;
}

/** A few large teams and many small ones. */
export function createTeams(count: number): readonly BenchTeam[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `team-${String(index)}`,
    share: 1 + Math.floor(10 / (index + 1)),
  }));
}

export interface WorkSample {
  readonly class: WorkClass;
  readonly size: Resources;
  readonly runMs: number;
}

const BATCH_SIZES: readonly Resources[] = [
  { processors: 2, memoryMb: 4_096, accelerators: 0 },
  { processors: 4, memoryMb: 16_384, accelerators: 0 },
  { processors: 8, memoryMb: 16_384, accelerators: 0 },
  { processors: 16, memoryMb: 65_536, accelerators: 0 },
  { processors: 4, memoryMb: 16_384, accelerators: 1 },
];
const INTERACTIVE_SIZE: Resources = { processors: 1, memoryMb: 1_024, accelerators: 0 };

/** Draws one unit of work; batch work runs about 25 times as long as interactive work. */
export function drawWork(random: Random, interactiveShare: number): WorkSample {
  const spread = -Math.log(1 - random());
  if (random() < interactiveShare) {
    return { class: 'interactive', size: INTERACTIVE_SIZE, runMs: 50 + 1_000 * spread };
  }
  const size = BATCH_SIZES[Math.floor(random() * BATCH_SIZES.length)] ?? INTERACTIVE_SIZE;
  return { class: 'batch', size, runMs: 2_000 + 25_000 * spread };
}

const NO_INPUT = new Uint8Array();

export function createRequest(
  id: number,
  work: { team: string; class: WorkClass; size: Resources; at: number },
): WorkRequest {
  return {
    id: String(id),
    callerId: false,
    team: work.team,
    entry: `${work.team}/${work.class}`,
    class: work.class,
    idempotent: true,
    size: work.size,
    tasks: 1,
    input: NO_INPUT,
    contentType: 'application/json',
    submittedAt: work.at,
    startBefore: Infinity,
    maxRunMs: 60_000,
    maxAttempts: 3,
    hops: [],
  };
}

export function sumCapacity(workers: readonly Worker[]): Resources {
  const sum = { processors: 0, memoryMb: 0, accelerators: 0 };
  for (const { capacity } of workers) {
    sum.processors += capacity.processors;
    sum.memoryMb += capacity.memoryMb;
    sum.accelerators += capacity.accelerators;
  }
  return sum;
}

export function createCell(options: {
  readonly workers: readonly Worker[];
  readonly teams: readonly BenchTeam[];
  readonly now: () => number;
  readonly random: Random;
  readonly policy?: Partial<SchedulerOptions>;
}): Scheduler {
  const { workers, now, random } = options;
  const teams = new Map(options.teams.map((team) => [team.name, { ...team, limit: 100_000 }]));
  const cell = sumCapacity(workers);
  const scheduler = createScheduler({
    now,
    random,
    health: createHealthTracker({ now }),
    owner: 'host-1/boot-1',
    epoch: () => 1,
    team: (name) => teams.get(name),
    remoteUsage: () => NO_RESOURCES,
    cell: () => cell,
    acquire: () => true,
    release: () => undefined,
    spare: () => 1_000,
    maxQueued: () => 1_000_000,
    maxQueuedPerTeam: 1_000_000,
    ...options.policy,
  });
  scheduler.setLedgers(workers.map((worker) => createLedger({ worker })));
  return scheduler;
}
