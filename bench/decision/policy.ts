/**
 * Simulates the scheduling policy and its baselines on the same sequence of arrivals, in virtual time.
 */
import { createRandom, type Random } from '../../stand-ins/random.js';
import {
  createStaticPartition,
  firstComeFirstServed,
  firstFit,
  powerOfTwoChoices,
  type Decision,
  type PlacementPolicy,
  type SchedulerOptions,
} from '../../src/scheduling/index.js';
import type { Resources, WorkClass, Worker } from '../../src/model/index.js';
import {
  createCell,
  createRequest,
  createTeams,
  createWorkers,
  drawWork,
  sumCapacity,
  type BenchTeam,
  type WorkSample,
} from './cell.js';
import { createEventQueue } from './event-queue.js';

export interface PolicyCell {
  readonly name: string;
  readonly workers: number;
  readonly teams: number;
  readonly seconds: number;
  /** Offered work as a multiple of the capacity in the scarcest resource. */
  readonly load: number;
}

export interface WaitSummary {
  readonly started: number;
  readonly unstarted: number;
  /** In milliseconds; a request that did not start counts with its wait until the end of the simulation. */
  readonly p50: number;
  readonly p99: number;
}

export interface PolicyResult {
  readonly cell: string;
  readonly policy: string;
  readonly interactive: WaitSummary;
  readonly batch: WaitSummary;
  /** Fraction of the cell's resources in use while work waits. */
  readonly packing: Resources;
  readonly slots: number;
  /** Entitled share minus used share of teams with waiting work, as fractions of the cell. */
  readonly largestDistance: number;
  readonly meanDistance: number;
  readonly waitingShare: number;
}

const INTERACTIVE_SHARE = 0.7;
/** This fraction of all requests comes from one team, regardless of its share; the rest is spread evenly. */
const FLOODING_TEAM_SHARE = 0.4;
const SAMPLE_MS = 1_000;
/** The first tenth of the simulation is not sampled, because the cell starts empty. */
const WARM_UP_FRACTION = 0.1;
/** Fraction of the slots that is taken by tasks that run for the whole simulation. */
const SERVICE_SHARE = 0.2;
const SERVICE_SIZE: Resources = { processors: 2, memoryMb: 8_192, accelerators: 0 };

function forAllClasses(placement: PlacementPolicy): Record<WorkClass, PlacementPolicy> {
  return { interactive: placement, batch: placement, gang: placement, service: placement };
}

export function createPolicies(
  teams: readonly BenchTeam[],
): Record<string, Partial<SchedulerOptions>> {
  const totalShare = teams.reduce((sum, { share }) => sum + share, 0);
  return {
    sapphirewing: {},
    'first come, first fit': {
      order: firstComeFirstServed,
      classes: 'merged',
      placements: forAllClasses(firstFit),
      agingMs: Infinity,
    },
    'random of two': {
      order: firstComeFirstServed,
      classes: 'merged',
      placements: forAllClasses(powerOfTwoChoices),
      agingMs: Infinity,
    },
    'static partition': {
      order: createStaticPartition(totalShare),
      classes: 'merged',
      agingMs: Infinity,
    },
  };
}

interface Arrival extends WorkSample {
  readonly at: number;
  readonly team: string;
}

export function drawArrivals(cell: PolicyCell, seed: number): readonly Arrival[] {
  const random = createRandom(seed);
  const teams = createTeams(cell.teams);
  const perMs =
    cell.load * computeSaturationRate(createWorkers(cell.workers), createRandom(seed + 1));
  const arrivals: Arrival[] = [];
  for (let at = 0; at < cell.seconds * 1_000; at += -Math.log(1 - random()) / perMs) {
    const index = random() < FLOODING_TEAM_SHARE ? 0 : Math.floor(random() * teams.length);
    // The flooding team is the last one, which has the smallest share.
    const team = teams[teams.length - 1 - index]?.name ?? 'team-0';
    arrivals.push({ ...drawWork(random, INTERACTIVE_SHARE), at, team });
  }
  return arrivals;
}

/** Arrivals per millisecond that saturate the scarcest resource, after subtracting the services. */
function computeSaturationRate(workers: readonly Worker[], random: Random): number {
  const capacity = sumCapacity(workers);
  const slots = workers.reduce((sum, worker) => sum + worker.slots, 0);
  const services = slots * SERVICE_SHARE;
  const draws = Array.from({ length: 20_000 }, () => drawWork(random, INTERACTIVE_SHARE));
  const mean = (of: (size: Resources) => number) =>
    draws.reduce((sum, { size, runMs }) => sum + of(size) * runMs, 0) / draws.length;
  return Math.min(
    (slots - services) / mean(() => 1),
    (capacity.processors - services * SERVICE_SIZE.processors) / mean((size) => size.processors),
    (capacity.memoryMb - services * SERVICE_SIZE.memoryMb) / mean((size) => size.memoryMb),
    capacity.accelerators / mean((size) => size.accelerators),
  );
}

class Sampler {
  private readonly sums = { processors: 0, memoryMb: 0, accelerators: 0, slots: 0 };
  private samples = 0;
  private waiting = 0;
  private largest = 0;
  private distance = 0;
  private distances = 0;

  constructor(
    private readonly cell: Resources,
    private readonly slots: number,
    private readonly teams: readonly BenchTeam[],
  ) {}

  sample(used: ReadonlyMap<string, Usage>, queued: ReadonlyMap<string, number>) {
    this.samples += 1;
    const waiting = this.teams.filter(({ name }) => (queued.get(name) ?? 0) > 0);
    if (waiting.length === 0) return;
    this.waiting += 1;
    for (const use of used.values()) {
      this.sums.processors += use.processors / this.cell.processors;
      this.sums.memoryMb += use.memoryMb / this.cell.memoryMb;
      this.sums.accelerators += use.accelerators / this.cell.accelerators;
      this.sums.slots += use.tasks / this.slots;
    }
    const active = this.teams.filter(({ name }) => {
      return (queued.get(name) ?? 0) > 0 || (used.get(name)?.tasks ?? 0) > 0;
    });
    const shares = active.reduce((sum, { share }) => sum + share, 0);
    const total = active.reduce((sum, { name }) => sum + this.dominantShare(used.get(name)), 0);
    for (const { name, share } of waiting) {
      const distance = Math.max(0, share / shares - this.dominantShare(used.get(name)) / total);
      this.largest = Math.max(this.largest, distance);
      this.distance += distance;
      this.distances += 1;
    }
  }

  private dominantShare(use: Usage | undefined): number {
    if (!use) return 0;
    return Math.max(
      use.processors / this.cell.processors,
      use.memoryMb / this.cell.memoryMb,
      use.accelerators / this.cell.accelerators,
    );
  }

  results() {
    const mean = (sum: number) => (this.waiting === 0 ? 0 : sum / this.waiting);
    return {
      packing: {
        processors: mean(this.sums.processors),
        memoryMb: mean(this.sums.memoryMb),
        accelerators: mean(this.sums.accelerators),
      },
      slots: mean(this.sums.slots),
      largestDistance: this.largest,
      meanDistance: this.distances === 0 ? 0 : this.distance / this.distances,
      waitingShare: this.samples === 0 ? 0 : this.waiting / this.samples,
    };
  }
}

interface Usage {
  processors: number;
  memoryMb: number;
  accelerators: number;
  tasks: number;
}

function adjustUsage(used: Map<string, Usage>, decision: Decision, sign: 1 | -1) {
  const { team, size } = decision.request;
  const use = used.get(team) ?? { processors: 0, memoryMb: 0, accelerators: 0, tasks: 0 };
  use.processors += sign * size.processors;
  use.memoryMb += sign * size.memoryMb;
  use.accelerators += sign * size.accelerators;
  use.tasks += sign;
  used.set(team, use);
}

function summarizeWaits(started: readonly number[], unstarted: readonly number[]): WaitSummary {
  const waits = [...started, ...unstarted].sort((left, right) => left - right);
  const at = (fraction: number) => waits[Math.floor(fraction * (waits.length - 1))] ?? 0;
  return { started: started.length, unstarted: unstarted.length, p50: at(0.5), p99: at(0.99) };
}

/** Runs one policy on the arrivals. */
export function simulate(
  cell: PolicyCell,
  run: {
    name: string;
    policy: Partial<SchedulerOptions>;
    arrivals: readonly Arrival[];
    seed: number;
  },
): PolicyResult {
  const workers = createWorkers(cell.workers);
  const teams = createTeams(cell.teams);
  const clock = { now: 0 };
  const scheduler = createCell({
    workers,
    teams,
    now: () => clock.now,
    random: createRandom(run.seed + 2),
    policy: run.policy,
  });
  const slots = workers.reduce((sum, worker) => sum + worker.slots, 0);
  const sampler = new Sampler(sumCapacity(workers), slots, teams);
  const used = new Map<string, Usage>();
  const queued = new Map<string, number>();
  const waits: Record<string, number[]> = { interactive: [], batch: [], service: [] };
  const completions = createEventQueue<Decision>();
  const pending = new Map<string, Arrival>();

  function startAll() {
    for (let decision = scheduler.next(); decision; decision = scheduler.next()) {
      const { id, team, submittedAt } = decision.request;
      const arrival = pending.get(id);
      pending.delete(id);
      queued.set(team, (queued.get(team) ?? 1) - 1);
      adjustUsage(used, decision, 1);
      waits[decision.request.class]?.push(clock.now - submittedAt);
      completions.add(clock.now + (arrival?.runMs ?? Infinity), decision);
    }
  }

  function enqueueArrival(id: number, arrival: Arrival) {
    scheduler.enqueue(createRequest(id, arrival));
    pending.set(String(id), arrival);
    queued.set(arrival.team, (queued.get(arrival.team) ?? 0) + 1);
  }

  for (let n = 0; n < slots * SERVICE_SHARE; n += 1) {
    const team = teams[n % teams.length]?.name ?? 'team-0';
    enqueueArrival(-1 - n, { class: 'service', size: SERVICE_SIZE, runMs: Infinity, at: 0, team });
  }
  startAll();
  const end = cell.seconds * 1_000;
  let next = 0;
  let sampleAt = SAMPLE_MS;
  while (clock.now < end) {
    const arrival = run.arrivals[next];
    clock.now = Math.min(arrival?.at ?? Infinity, completions.nextTime(), sampleAt, end);
    for (const decision of completions.takeUntil(clock.now)) {
      scheduler.finished(decision.task, decision.worker);
      adjustUsage(used, decision, -1);
    }
    if (arrival && arrival.at <= clock.now) {
      enqueueArrival(next, arrival);
      next += 1;
    }
    startAll();
    if (clock.now < sampleAt) continue;
    if (clock.now >= end * WARM_UP_FRACTION) sampler.sample(used, queued);
    sampleAt += SAMPLE_MS;
  }
  const waitsOfUnstarted = (workClass: WorkClass) =>
    [...pending.values()].filter((each) => each.class === workClass).map(({ at }) => end - at);
  return {
    cell: cell.name,
    policy: run.name,
    interactive: summarizeWaits(waits.interactive ?? [], waitsOfUnstarted('interactive')),
    batch: summarizeWaits(waits.batch ?? [], waitsOfUnstarted('batch')),
    ...sampler.results(),
  };
}
