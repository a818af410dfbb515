/**
 * Measures placements per second of one deployment with closed-loop lookups that take no time on their workers.
 * Concurrent callers use keep-alive connections to all entry hosts on loopback.
 */
import { Cli, Command, Option } from 'clipanion';
import { Pool } from 'undici';
import { startCell, type Cell } from '../stand-ins/cell.js';
import { percentile } from './support/analysis.js';
import { readExample, secretOf } from './support/workload.js';
import { readProcess, stopOnSignal } from './support/probe.js';

const MAX_SECONDS = 30;
const MAX_CALLERS = 400;
const WARM_UP_SECONDS = 4;
const MS_PER_SECOND = 1000;
/** Times are recorded in microseconds, because `percentile` works on whole numbers. */
const MICROSECONDS_PER_MS = 1000;

interface Round {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  /** Processor time of all daemons per placement. */
  readonly cpuMs: number;
  readonly workerCores: number;
  readonly callerCores: number;
}

class ThroughputCommand extends Command {
  static override usage = Command.Usage({
    description: 'Measure placements per second with lookups that take no time.',
  });

  seconds = Option.String('--seconds', '8', { description: 'Length of a round, at most 30' });
  callers = Option.String('--callers', '16,64,128', {
    description: 'Concurrent callers per round',
  });

  override async execute(): Promise<number> {
    const seconds = Math.min(Number(this.seconds), MAX_SECONDS);
    const counts = this.callers.split(',').map((text) => Math.min(Number(text), MAX_CALLERS));
    const example = await readExample('guadalajara');
    const cell = await startCell(example);
    stopOnSignal(cell);
    try {
      await runRound(cell, counts[0] ?? 1, WARM_UP_SECONDS);
      for (const count of counts) {
        console.log(describeRound(count, await runRound(cell, count, seconds)));
      }
    } finally {
      await cell.stop();
    }
    return 0;
  }
}

async function runRound(cell: Cell, callers: number, seconds: number): Promise<Round> {
  const pools = cell.hosts.map(
    ({ url }) => new Pool(url, { connections: Math.ceil(callers / cell.hosts.length) }),
  );
  const times: number[] = [];
  let failed = 0;
  const before = await readCpuTotals(cell);
  const startedAt = performance.now();
  const endAt = startedAt + seconds * MS_PER_SECOND;

  async function runCaller(first: number): Promise<void> {
    for (let turn = first; performance.now() < endAt; turn += 1) {
      const pool = pools[turn % pools.length];
      if (pool === undefined) return;
      const sentAt = performance.now();
      if (await sendLookup(pool)) times.push((performance.now() - sentAt) * MICROSECONDS_PER_MS);
      else failed += 1;
    }
  }

  await Promise.all(Array.from({ length: callers }, (_, index) => runCaller(index)));
  const elapsedMs = performance.now() - startedAt;
  const after = await readCpuTotals(cell);
  await Promise.all(pools.map((pool) => pool.close()));
  return {
    perSecond: (times.length / elapsedMs) * MS_PER_SECOND,
    p50Ms: percentile(times, 50) / MICROSECONDS_PER_MS,
    p99Ms: percentile(times, 99) / MICROSECONDS_PER_MS,
    failed,
    cpuMs: (after.hosts - before.hosts) / times.length,
    workerCores: (after.workers - before.workers) / elapsedMs,
    callerCores: (after.callers - before.callers) / elapsedMs,
  };
}

async function sendLookup(pool: Pool): Promise<boolean> {
  const { statusCode, body } = await pool.request({
    method: 'POST',
    path: '/v1/requests',
    headers: { authorization: `Bearer ${secretOf('gate-office')}` },
    body: '{"entry":"slot-lookup","input":{"lawn":3}}',
  });
  await body.dump();
  return statusCode === 200;
}

/** Reads the processor time used so far, in milliseconds. */
async function readCpuTotals(cell: Cell) {
  const hosts = await Promise.all(cell.hosts.map(({ pid }) => readProcess(pid)));
  const [workers, callers] = await Promise.all([
    readProcess(cell.workers.pid),
    readProcess(process.pid),
  ]);
  return {
    hosts: hosts.reduce((sum, { cpuMs }) => sum + cpuMs, 0),
    workers: workers.cpuMs,
    callers: callers.cpuMs,
  };
}

function describeRound(callers: number, round: Round): string {
  const { perSecond, p50Ms, p99Ms, failed, cpuMs, workerCores, callerCores } = round;
  return [
    `${String(callers)} callers: ${perSecond.toFixed(0)} placements/s`,
    `response p50 ${p50Ms.toFixed(1)} ms, p99 ${p99Ms.toFixed(1)} ms`,
    `${String(failed)} failed`,
    `${cpuMs.toFixed(2)} ms of daemon processor time each`,
    `worker stand-in ${workerCores.toFixed(2)} cores, callers ${callerCores.toFixed(2)} cores`,
  ].join(', ');
}

process.exitCode = await Cli.from(ThroughputCommand, {
  binaryName: 'node dist/bench/throughput.js',
}).run(process.argv.slice(2));
