/**
 * Measures the control cost of an idle entry host in one data centre as a function of the number of workers,
 * running tasks, peers and teams, and fits a line to each. Every cell runs as real processes on loopback; one
 * process serves all its workers.
 */
import { writeFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { Cli, Command, Option } from 'clipanion';
import { stringify } from 'yaml';
import { hashSecret } from '../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell } from '../stand-ins/cell.js';
import { createRandom } from '../stand-ins/random.js';
import { createCallers, type Callers } from './support/arrivals.js';
import type { RequestStream } from './support/workload.js';
import { secretOf } from './support/workload.js';
import {
  computeRates,
  formatTable,
  readCell,
  startCollector,
  stopOnSignal,
  type Collector,
  type HostRates,
} from './support/probe.js';

interface CellShape {
  readonly workers: number;
  readonly hosts: number;
  readonly teams: number;
  /** Numbers of running tasks at which the cell is measured, in ascending order. */
  readonly tasks: readonly number[];
}

interface Measurement {
  readonly workers: number;
  readonly hosts: number;
  readonly teams: number;
  readonly tasks: number;
  readonly rates: HostRates;
}

type Dimension = 'workers' | 'tasks' | 'hosts' | 'teams';

const BASE = { workers: 60, hosts: 4, teams: 6, tasks: [0] };
/** The largest shape covers a ninth of the target fleet: 189 workers and 1,222 tasks. */
const CELL_SHAPES: readonly CellShape[] = [
  { ...BASE, workers: 8 },
  BASE,
  { ...BASE, workers: 190, tasks: [0, 400, 1300] },
  { ...BASE, hosts: 2 },
  { ...BASE, hosts: 8 },
  { ...BASE, teams: 74 },
];
const MAX_SECONDS = 60;
/** Time to claim 190 workers and to grant the first parts of 74 allotments. */
const SETTLE_MS = 8000;
const READY_TIMEOUT_MS = 60_000;
const MAX_CONCURRENT_SUBMISSIONS = 16;
const TASKS_PER_SERVICE = 5;
const RUN_MS = 3_600_000;
const START_WAIT_MS = 30_000;
const START_POLL_MS = 500;
const SEED = 1;

class CapacityCommand extends Command {
  static override usage = Command.Usage({
    description: 'Measure the idle control cost of an entry host at several sizes.',
  });

  seconds = Option.String('--seconds', '10', {
    description: 'Length of a measurement, at most 60',
  });
  repeat = Option.String('--repeat', '1', { description: 'Rounds over all sizes, at most 5' });
  json = Option.String('--json', { description: 'File for the results' });

  override async execute(): Promise<number> {
    const measureMs = Math.min(Number(this.seconds), MAX_SECONDS) * 1000;
    const rounds = Math.min(Number(this.repeat), 5);
    const collector = await startCollector();
    const rows: Measurement[] = [];
    for (let round = 0; round < rounds; round += 1) {
      for (const shape of CELL_SHAPES)
        rows.push(...(await measureShape(shape, collector, measureMs)));
    }
    collector.close();
    const print = (text: string) => this.context.stdout.write(`${text}\n`);
    print(
      `seed ${String(SEED)}, ${String(measureMs / 1000)} s a measurement; costs per entry host`,
    );
    print(formatTable([HEADER, ...rows.map(describeRow)]));
    const slopes = computeSlopes(rows);
    print(formatTable([SLOPE_HEADER, ...slopes.map(describeSlope)]));
    const result = { node: process.version, measureMs, rows, slopes };
    if (this.json !== undefined) await writeFile(this.json, JSON.stringify(result, null, 2));
    return 0;
  }
}

async function measureShape(
  shape: CellShape,
  collector: Collector,
  measureMs: number,
): Promise<readonly Measurement[]> {
  const cell = await startCell({
    dataCentres: [{ name: 'dc', hosts: shape.hosts, workers: listWorkers(shape.workers) }],
    catalogue: describeCatalogue(shape.teams),
    settings: { metrics: collector.settings },
    readyTimeoutMs: READY_TIMEOUT_MS,
  });
  stopOnSignal(cell);
  const callers = createCallers(cell.hosts, createRandom(SEED));
  try {
    const rows: Measurement[] = [];
    let running = 0;
    for (const tasks of shape.tasks) {
      await startTasks(callers, shape.teams, { from: running, until: tasks });
      running = await awaitRunning(cell, tasks);
      await delay(SETTLE_MS);
      const before = await readCell(cell, collector);
      await delay(measureMs);
      const rates = computeRates(before, await readCell(cell, collector));
      const { workers, hosts, teams } = shape;
      rows.push({ workers, hosts, teams, tasks: running, rates });
    }
    return rows;
  } finally {
    await callers.close();
    await cell.stop();
  }
}

function listWorkers(count: number): readonly object[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `worker-${String(index + 1).padStart(3, '0')}`,
    rack: `rack-${String(Math.floor(index / 8) + 1)}`,
    capacity: { processors: 32, memoryMb: 131_072, accelerators: 0 },
    slots: 8,
    connections: 64,
  }));
}

function describeCatalogue(count: number): string {
  const teams = Array.from({ length: count }, (_, index) => `team-${String(index + 1)}`);
  const size = { processors: 1, memoryMb: 1024 };
  const waits = { deadlineMs: 600_000, maxQueued: 2000 };
  const catalogue = {
    teams: Object.fromEntries(teams.map((team) => [team, { share: 1, limit: 1000 }])),
    entries: Object.fromEntries(
      teams.flatMap((owner) => [
        [
          `job-of-${owner}`,
          { owner, class: 'batch', idempotent: true, size, ...waits, maxRunMs: 2 * RUN_MS },
        ],
        [`service-of-${owner}`, { owner, class: 'service', idempotent: true, size, ...waits }],
      ]),
    ),
    keys: {
      ...Object.fromEntries(
        teams.map((team) => [team, { team, hash: hashSecret(secretOf(team)) }]),
      ),
      operator: { role: 'operator', hash: hashSecret(OPERATOR_KEY) },
    },
  };
  // The catalogue parser limits the number of YAML aliases, which this catalogue would exceed.
  return stringify(catalogue, { aliasDuplicateObjects: false });
}

/** Starts tasks of all teams in turn; every fifth task is a service. */
async function startTasks(
  callers: Callers,
  teams: number,
  { from, until }: { from: number; until: number },
): Promise<void> {
  let next = from;
  const submitSome = async () => {
    for (let index = next++; index < until; index = next++) {
      const key = `team-${String((index % teams) + 1)}`;
      const kind = index % TASKS_PER_SERVICE === 0 ? 'service' : 'job';
      const entry = `${kind}-of-${key}`;
      const stream: RequestStream = {
        kind: 'batch',
        entry,
        key,
        part: 0,
        meanRunMs: RUN_MS,
        tasks: 1,
      };
      await callers.submit(stream, { runMs: RUN_MS });
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_SUBMISSIONS }, submitSome));
}

async function awaitRunning({ operator }: Cell, expected: number): Promise<number> {
  const giveUpAt = Date.now() + START_WAIT_MS;
  for (;;) {
    const rows = await operator.workers();
    const running = rows.reduce((sum, row) => sum + row.running, 0);
    if (running >= expected || Date.now() >= giveUpAt) return running;
    await delay(START_POLL_MS);
  }
}

const HEADER = ['workers', 'hosts', 'teams', 'tasks', '% core', 'MB', 'link B/s', 'store calls/s'];
const SLOPE_HEADER = ['slope per', '% core', 'MB', 'link B/s', 'store calls/s'];

function describeRow({ workers, hosts, teams, tasks, rates }: Measurement): readonly string[] {
  return [...[workers, hosts, teams, tasks].map(String), ...describeCosts(costsOf(rates), 2)];
}

type Costs = readonly [number, number, number, number];

function costsOf(rates: HostRates): Costs {
  const { processorShare, residentMb, linkBytesPerSecond, storeCallsPerSecond } = rates;
  return [processorShare * 100, residentMb, linkBytesPerSecond, storeCallsPerSecond];
}

function describeCosts(costs: readonly number[], digits: number): readonly string[] {
  return costs.map((cost) => cost.toFixed(digits));
}

interface Slope {
  readonly dimension: string;
  readonly costs: readonly number[];
}

/** Fits each slope to the measurements that differ from the base shape in one dimension only. */
function computeSlopes(rows: readonly Measurement[]): readonly Slope[] {
  const matchesBase = (row: Measurement, except: Dimension) =>
    (except === 'workers' || row.workers === (except === 'tasks' ? 190 : BASE.workers)) &&
    (except === 'hosts' || row.hosts === BASE.hosts) &&
    (except === 'teams' || row.teams === BASE.teams) &&
    (except === 'tasks' || row.tasks === 0);
  const dimensions: readonly Dimension[] = ['workers', 'tasks', 'hosts', 'teams'];
  return dimensions.map((dimension) => {
    const measurements = rows.filter((row) => matchesBase(row, dimension));
    const costs = [0, 1, 2, 3].map((cost) =>
      fitSlope(measurements.map((row) => [row[dimension], costsOf(row.rates)[cost] ?? NaN])),
    );
    return { dimension, costs };
  });
}

/** Slope of a least-squares line. */
function fitSlope(points: readonly (readonly [number, number])[]): number {
  const meanOf = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanX = meanOf(points.map(([x]) => x));
  const meanY = meanOf(points.map(([, y]) => y));
  const covariance = meanOf(points.map(([x, y]) => (x - meanX) * (y - meanY)));
  return covariance / meanOf(points.map(([x]) => (x - meanX) ** 2));
}

function describeSlope({ dimension, costs }: Slope): readonly string[] {
  return [dimension.replace(/s$/, ''), ...describeCosts(costs, 4)];
}

const cli = new Cli({ binaryLabel: 'capacity', binaryName: 'node dist/bench/capacity.js' });
cli.register(CapacityCommand);
process.exitCode = await cli.run(process.argv.slice(2));
