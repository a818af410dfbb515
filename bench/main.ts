/**
 * Runs the cell of one user with real daemons and stand-ins on loopback, under an open-loop workload at several
 * loads. See `--help` for the options. The load is a fraction of the slots of all workers. Actual run times and
 * resource usage differ widely from what the catalogue declares.
 */
import { writeFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';
import { Cli, Command, Option } from 'clipanion';
import { parse } from 'yaml';
import { startCell, type Cell } from '../stand-ins/cell.js';
import { callControlRoute } from '../stand-ins/control.js';
import {
  findRecovery,
  measurePacking,
  percentile,
  summarizeClasses,
  traceRequests,
  type WorkerRecord,
} from './support/analysis.js';
import { createRandom } from '../stand-ins/random.js';
import { createCallers, type Callers, type SentRequest } from './support/arrivals.js';
import { readExample, USER_WORKLOADS, type Example, type UserName } from './support/workload.js';
import { printPhase, type PhaseReport } from './support/print.js';
import {
  computeRates,
  readCell,
  startCollector,
  stopOnSignal,
  type CellCost,
  type Collector,
  type HostRates,
} from './support/probe.js';

const MAX_SECONDS = 60;
const MAX_REQUESTS = 60_000;
const MAX_LOAD = 3;
const WARM_UP_MS = 5000;
const WARM_UP_LOAD = 0.3;
const RECOVERY_MS = 10_000;
/** Queued interactive requests reach their deadline within this time. */
const SETTLE_MS = 6000;
/** Lookups count as recovered below this wait, or below twice their p99 wait in the first phase if that is longer. */
const RECOVERED_MS = 50;
const REPORT_LAG_MS = 1000;
const MIN_USAGE = 0.3;
const MAX_USAGE = 1.6;

interface Phase {
  readonly name: string;
  readonly load: number;
  readonly from: number;
  readonly until: number;
  readonly sent: readonly SentRequest[];
  readonly before: CellCost;
  readonly after: CellCost;
}

interface BenchContext {
  readonly user: UserName;
  readonly example: Example;
  readonly cell: Cell;
  readonly collector: Collector;
  readonly callers: Callers;
}

class BenchCommand extends Command {
  static override usage = Command.Usage({
    description: 'Measure waiting time, packing, shares and control cost of a cell.',
  });

  user = Option.String('--user', 'guadalajara', { description: 'guadalajara or cluj' });
  load = Option.String('--load', '0.5,0.95,2.0', {
    description: 'Loads as fractions of the slots',
  });
  seconds = Option.String('--seconds', '20', { description: 'Length of a phase, at most 60' });
  seed = Option.String('--seed', String(Date.now() % 1_000_000), { description: 'Random seed' });
  profile = Option.String('--cpu-prof', {
    description: 'Directory for processor profiles of the daemons',
  });
  json = Option.String('--json', { description: 'File for the results' });

  override async execute(): Promise<number> {
    const user: UserName = this.user === 'cluj' ? 'cluj' : 'guadalajara';
    const loads = this.load.split(',').map(Number);
    const seconds = Math.min(Number(this.seconds), MAX_SECONDS);
    const valid = user === this.user && loads.every((load) => load > 0 && load <= MAX_LOAD);
    if (!valid || !(seconds > 0)) {
      this.context.stderr.write(
        `expected --user guadalajara|cluj, loads above 0 and up to ${String(MAX_LOAD)}, and --seconds above 0\n`,
      );
      return 2;
    }
    const seed = Number(this.seed);
    const print = (line: string) => this.context.stdout.write(`${line}\n`);
    print(`user ${user}, seed ${String(seed)}, ${String(seconds)} s a phase`);
    const report = await runBench({
      user,
      loads,
      phaseMs: seconds * 1000,
      seed,
      print,
      profile: this.profile,
    });
    const result = { user, seed, seconds, node: process.version, ...report };
    if (this.json !== undefined) await writeFile(this.json, JSON.stringify(result, null, 2));
    return 0;
  }
}

interface BenchOptions {
  readonly user: UserName;
  readonly loads: readonly number[];
  readonly phaseMs: number;
  readonly seed: number;
  readonly print: (line: string) => void;
  readonly profile: string | undefined;
}

async function runBench(
  options: BenchOptions,
): Promise<{ idle: HostRates; phases: readonly PhaseReport[] }> {
  const { user, seed, print } = options;
  const example = await readExample(user);
  const collector = await startCollector();
  const cell = await startCell({
    dataCentres: example.dataCentres,
    catalogue: example.catalogue,
    settings: { metrics: collector.settings },
    ...(options.profile !== undefined && {
      nodeArgs: ['--cpu-prof', `--cpu-prof-dir=${options.profile}`],
    }),
  });
  stopOnSignal(cell);
  const random = createRandom(seed);
  const callers = createCallers(cell.hosts, random);
  const bench: BenchContext = { user, example, cell, collector, callers };
  try {
    await randomizeWorkerUsage(cell, random);
    await delay(WARM_UP_MS);
    const idle = await measureIdle(bench, options.phaseMs / 2);
    print(
      `${String(cell.hosts.length)} hosts, ${String(example.slots)} slots; idle host: ${formatRates(idle)}`,
    );
    await startServices(bench);
    await runPhase(bench, { name: 'warm-up', load: WARM_UP_LOAD, durationMs: WARM_UP_MS });
    const phases = await runPhases(bench, options);
    const reports = describePhases(bench, phases, await readRecords(cell));
    for (const report of reports) printPhase(report, print);
    return { idle, phases: reports };
  } finally {
    await callers.close();
    if (options.profile !== undefined) await stopWithProfiles(cell);
    await cell.stop();
    collector.close();
  }
}

/** A second SIGTERM makes a daemon exit at once, which is when it writes its profile. */
async function stopWithProfiles({ hosts }: Cell): Promise<void> {
  for (const host of hosts) host.signal('SIGTERM');
  await Promise.all(hosts.map((host) => host.stop('SIGTERM')));
}

/** Sets the observed usage to 0.3 to 1.6 times the declared size, and delays its reports. */
async function randomizeWorkerUsage(cell: Cell, random: () => number): Promise<void> {
  await Promise.all(
    cell.workers.workers.map(({ url }) => {
      const usageFactor = MIN_USAGE + random() * (MAX_USAGE - MIN_USAGE);
      const settings = { usageFactor, reportLagMs: REPORT_LAG_MS };
      return callControlRoute(url, 'PATCH', '/control/settings', settings);
    }),
  );
}

async function measureIdle(
  { cell, collector }: BenchContext,
  durationMs: number,
): Promise<HostRates> {
  const before = await readCell(cell, collector);
  await delay(durationMs);
  return computeRates(before, await readCell(cell, collector));
}

async function startServices({ user, callers }: BenchContext): Promise<void> {
  const { entry, key, count } = USER_WORKLOADS[user].service;
  const stream = { kind: 'batch', entry, key, part: 0, meanRunMs: 0, tasks: 1 } as const;
  await Promise.all(Array.from({ length: count }, () => callers.submit(stream, {})));
}

/** Follows each overload by a phase at the lowest load, which measures the recovery. */
async function runPhases(
  bench: BenchContext,
  { loads, phaseMs }: BenchOptions,
): Promise<readonly Phase[]> {
  const phases: Phase[] = [];
  const lowest = Math.min(...loads);
  for (const load of loads) {
    phases.push(await runPhase(bench, { name: `load ${String(load)}`, load, durationMs: phaseMs }));
    if (load <= 1) continue;
    const name = `recovery after ${String(load)}`;
    phases.push(await runPhase(bench, { name, load: lowest, durationMs: RECOVERY_MS }));
  }
  await bench.callers.settle(SETTLE_MS);
  return phases;
}

async function runPhase(
  { user, example, cell, collector, callers }: BenchContext,
  { name, load, durationMs }: { name: string; load: number; durationMs: number },
): Promise<Phase> {
  const before = await readCell(cell, collector);
  const from = Date.now();
  const sent = await callers.offer({
    streams: USER_WORKLOADS[user].streams,
    slots: load * example.slots,
    durationMs,
    maxRequests: MAX_REQUESTS,
  });
  const until = Date.now();
  const after = await readCell(cell, collector);
  // After an overload, the queued work is kept, so that the recovery phase starts with it.
  if (load <= 1) await callers.settle(SETTLE_MS);
  return { name, load, from, until, sent, before, after };
}

async function readRecords(cell: Cell): Promise<readonly WorkerRecord[]> {
  return Promise.all(
    cell.workers.workers.map(
      async ({ url }) => (await callControlRoute(url, 'GET', '/control/record')) as WorkerRecord,
    ),
  );
}

function describePhases(
  { example, cell }: BenchContext,
  phases: readonly Phase[],
  records: readonly WorkerRecord[],
): readonly PhaseReport[] {
  const { entries } = parse(example.catalogue) as {
    entries: Record<string, { owner: string } | undefined>;
  };
  const teamOf = (entry: string) => entries[entry]?.owner ?? '';
  const traces = phases.map(({ sent }) => traceRequests(sent, records));
  const lookupWaits = (traces[0] ?? []).flatMap(({ sent, startedAt }) =>
    sent.stream.kind === 'lookup' && startedAt !== undefined ? [startedAt - sent.submittedAt] : [],
  );
  const boundMs = Math.max(RECOVERED_MS, 2 * percentile(lookupWaits, 99));
  return phases.map((phase, index) => {
    const { name, load, from, until, before, after } = phase;
    const traced = traces[index] ?? [];
    const starts = records
      .flatMap(({ runs }) => runs)
      .filter(({ start }) => start >= from && start < until).length;
    const ended = traces
      .flat()
      .filter(({ endedAt }) => endedAt !== undefined && endedAt >= from && endedAt < until).length;
    const cpuMs = [...after.hosts].map(
      ([id, cost]) => [id, cost.cpuMs - (before.hosts.get(id)?.cpuMs ?? 0)] as const,
    );
    const total = cpuMs.reduce((sum, [, ms]) => sum + ms, 0);
    const seconds = (until - from) / 1000;
    const previousLoad = phases[index - 1]?.load ?? 0;
    return {
      name,
      load,
      seconds,
      classes: summarizeClasses(traced),
      packing: measurePacking({
        traced: traces.flat(),
        records,
        workers: cell.workers.workers,
        teams: example.teams,
        teamOf,
        from,
        until,
      }),
      placementsPerSecond: starts / seconds,
      goodputPerSecond: ended / seconds,
      cpuMsPerPlacement: total / starts,
      cpuMsByHost: Object.fromEntries(cpuMs),
      rates: computeRates(before, after),
      workerShare: (after.workers.cpuMs - before.workers.cpuMs) / seconds / 1000,
      benchShare: (after.bench.cpuMs - before.bench.cpuMs) / seconds / 1000,
      violations: countViolations(records),
      ...(previousLoad > 1 && { recoveryMs: findRecovery(traced, from, boundMs) ?? -1 }),
    };
  });
}

/** Counts the violations of the whole run by kind and effect, so attempts that workers refused are separate. */
function countViolations(records: readonly WorkerRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { kind, effect } of records.flatMap(({ violations }) => violations)) {
    const name = `${kind} ${effect}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

function formatRates(rates: HostRates): string {
  return [
    `${(rates.processorShare * 100).toFixed(2)} % of a core`,
    `${rates.residentMb.toFixed(0)} MB`,
    `${(rates.linkBytesPerSecond / 1000).toFixed(2)} KB/s on links`,
    `${rates.storeCallsPerSecond.toFixed(2)} store calls/s`,
  ].join(', ');
}

const cli = new Cli({ binaryLabel: 'bench', binaryName: 'npm run bench --' });
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2));
