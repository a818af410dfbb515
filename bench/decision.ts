/**
 * Benchmarks scheduling decisions in isolation, without sockets or store: how the time per decision and the size of
 * the state grow with the cell, and how the policy compares with baselines in a simulation. Usage:
 * `node dist/bench/decision.js [--seed N] [--rounds N] [--json FILE]`.
 */
import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { createTeams } from './decision/cell.js';
import { measureCost, fitSlope, type CellSize, type DecisionCost } from './decision/cost.js';
import {
  createPolicies,
  drawArrivals,
  simulate,
  type PolicyCell,
  type PolicyResult,
} from './decision/policy.js';

const LARGE: CellSize = { workers: 1_700, tasks: 11_000, teams: 74 };
const SIZES: Record<string, readonly CellSize[]> = {
  cell: [{ workers: 30, tasks: 200, teams: 6 }, LARGE],
  workers: [425, 850, 1_275, 1_700].map((workers) => ({ ...LARGE, workers, tasks: 2_500 })),
  tasks: [2_000, 5_000, 8_000, 11_000].map((tasks) => ({ ...LARGE, tasks })),
  teams: [6, 24, 49, 74].map((teams) => ({ ...LARGE, teams })),
};
const POLICY_CELLS: readonly PolicyCell[] = [
  { name: '30 workers, load 0.8', workers: 30, teams: 6, seconds: 900, load: 0.8 },
  { name: '30 workers, load 1.2', workers: 30, teams: 6, seconds: 900, load: 1.2 },
  { name: '1700 workers, load 1.2', workers: 1_700, teams: 74, seconds: 120, load: 1.2 },
];

interface Slope {
  readonly over: string;
  readonly state: DecisionCost['state'];
  /** Microseconds and bytes per additional worker, task or team. */
  readonly p50: number;
  readonly p99: number;
  readonly bytes: number;
}

function main() {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      rounds: { type: 'string', default: '3' },
      json: { type: 'string' },
    },
  });
  const seed = Number(values.seed);
  console.log(`seed ${String(seed)}`);
  const costs = summarizeRounds(measureCosts(seed, Number(values.rounds)));
  printCosts(costs);
  const slopes = computeSlopes(costs);
  printSlopes(slopes);
  const policies = comparePolicies(seed);
  printPolicies(policies);
  if (values.json === undefined) return;
  writeFileSync(values.json, JSON.stringify({ seed, costs, slopes, policies }, undefined, 2));
}

interface NamedCost extends DecisionCost {
  readonly over: string;
}

/** Measures all sizes in each round, so that drift of the machine affects them equally. */
function measureCosts(seed: number, rounds: number): readonly NamedCost[] {
  const costs: NamedCost[] = [];
  // Warm-up: the first runs execute before the code is optimized and are discarded.
  for (const state of ['room', 'full'] as const) measureCost(LARGE, state, seed);
  for (let round = 0; round < rounds; round += 1) {
    for (const [over, sizes] of Object.entries(SIZES)) {
      for (const size of sizes) {
        for (const state of ['room', 'full'] as const) {
          if (over === 'tasks' && state === 'full') continue;
          costs.push({ over, ...measureCost(size, state, seed + round) });
        }
      }
    }
  }
  return costs;
}

/** Takes the median of each value over the rounds, and the largest of the maxima. */
function summarizeRounds(costs: readonly NamedCost[]): readonly NamedCost[] {
  const groups = new Map<string, NamedCost[]>();
  for (const cost of costs) {
    const wanted = cost.state === 'full' ? 'all' : String(cost.tasks);
    const key = [cost.over, cost.workers, cost.teams, cost.state, wanted].join(' ');
    groups.set(key, [...(groups.get(key) ?? []), cost]);
  }
  return [...groups.values()].flatMap((group) => {
    const [first] = group;
    if (!first) return [];
    const median = (of: (cost: NamedCost) => number) => {
      return group.map(of).sort((left, right) => left - right)[Math.floor(group.length / 2)] ?? 0;
    };
    return {
      ...first,
      tasks: median((cost) => cost.tasks),
      p50: median((cost) => cost.p50),
      p99: median((cost) => cost.p99),
      max: Math.max(...group.map((cost) => cost.max)),
      perSecond: median((cost) => cost.perSecond),
      bytes: median((cost) => cost.bytes),
    };
  });
}

function computeSlopes(costs: readonly NamedCost[]): readonly Slope[] {
  const slopes: Slope[] = [];
  for (const over of ['workers', 'tasks', 'teams'] as const) {
    for (const state of ['room', 'full'] as const) {
      const points = costs.filter((cost) => cost.over === over && cost.state === state);
      if (points.length === 0) continue;
      const of = (key: 'p50' | 'p99' | 'bytes') =>
        fitSlope(points.map((cost) => [cost[over], cost[key]]));
      slopes.push({ over, state, p50: of('p50'), p99: of('p99'), bytes: of('bytes') });
    }
  }
  return slopes;
}

/** Runs all policies of a cell on the same arrivals. */
function comparePolicies(seed: number): readonly PolicyResult[] {
  return POLICY_CELLS.flatMap((cell) => {
    const arrivals = drawArrivals(cell, seed);
    const policies = createPolicies(createTeams(cell.teams));
    return Object.entries(policies).map(([name, policy]) => {
      return simulate(cell, { name, policy, arrivals, seed });
    });
  });
}

function printCosts(costs: readonly NamedCost[]) {
  console.log('\ntime of one decision in microseconds, median of the rounds');
  console.table(
    costs.map(({ over, workers, tasks, teams, state, queued, ...cost }) => ({
      over,
      workers,
      tasks,
      teams,
      state,
      queued,
      p50: round(cost.p50, 1),
      p99: round(cost.p99, 1),
      max: round(cost.max, 0),
      'cycles/s': round(cost.perSecond, 0),
      'state KB': round(cost.bytes / 1_024, 0),
    })),
  );
}

function printSlopes(slopes: readonly Slope[]) {
  console.log('\nslopes per additional worker, task or team');
  console.table(
    slopes.map(({ over, state, p50, p99, bytes }) => ({
      over,
      state,
      'p50 ns': round(p50 * 1_000, 1),
      'p99 ns': round(p99 * 1_000, 1),
      bytes: round(bytes, 0),
    })),
  );
}

function printPolicies(results: readonly PolicyResult[]) {
  console.log('\nwaiting time in ms; shares in use while work waits; distance to share');
  console.table(
    results.map(({ cell, policy, interactive, batch, packing, ...rest }) => ({
      cell,
      policy,
      'int p50': round(interactive.p50, 0),
      'int p99': round(interactive.p99, 0),
      'int left': interactive.unstarted,
      'batch p50': round(batch.p50, 0),
      'batch p99': round(batch.p99, 0),
      'batch left': batch.unstarted,
      proc: round(packing.processors, 3),
      mem: round(packing.memoryMb, 3),
      acc: round(packing.accelerators, 3),
      slots: round(rest.slots, 3),
      'dist max': round(rest.largestDistance, 3),
      'dist mean': round(rest.meanDistance, 3),
      waiting: round(rest.waitingShare, 2),
    })),
  );
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}

main();
