/**
 * Command line of the soak: `node dist/soak/main.js --runs 50 --seconds 20`. Prints the seed and the counts of each run.
 * For a run with violations, prints the faults and the violations and keeps the logs; the exit code is then 1.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { FAILED_SEEDS } from './failed-seeds.js';
import { runSoak } from './soak.js';

const USAGE = `soak [--seed N] [--runs N] [--seconds S] [--hosts N] [--workers N] [--callers N] [--program FILE]
  --failed   runs the seeds of past failures instead
  --seed     first seed, random by default; further runs use the following numbers
  --program  built daemon, dist/platform/main.js by default`;
const MAX_SEED = 2 ** 31;

const { values } = parseArgs({
  options: {
    seed: { type: 'string' },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '20' },
    hosts: { type: 'string', default: '4' },
    workers: { type: 'string', default: '5' },
    callers: { type: 'string', default: '6' },
    program: { type: 'string', default: 'dist/platform/main.js' },
    failed: { type: 'boolean', default: false },
    help: { type: 'boolean', default: false },
  },
});

async function main() {
  if (values.help) {
    process.stdout.write(`${USAGE}\n`);
    return;
  }
  const seeds = chooseSeeds();
  let failedRuns = 0;
  for (const seed of seeds) {
    if (!(await runOnce(seed))) failedRuns += 1;
  }
  process.stdout.write(`${String(seeds.length)} runs, ${String(failedRuns)} with violations\n`);
  process.exitCode = failedRuns === 0 ? 0 : 1;
}

function chooseSeeds(): readonly number[] {
  if (values.failed) return FAILED_SEEDS.map(({ seed }) => seed);
  const first = Number(values.seed ?? Math.floor(Math.random() * MAX_SEED));
  return Array.from({ length: Number(values.runs) }, (_, run) => first + run);
}

async function runOnce(seed: number): Promise<boolean> {
  const folder = await mkdtemp(join(tmpdir(), `soak-${String(seed)}-`));
  const lines: string[] = [];
  const outcome = await runSoak({
    seed,
    folder,
    program: values.program,
    durationMs: Number(values.seconds) * 1000,
    hosts: Number(values.hosts),
    workers: Number(values.workers),
    callers: Number(values.callers),
    note: (line) => lines.push(line),
  });
  const { jobs, accepted, starts, violations, faults } = outcome;
  const counts = `${String(jobs)} jobs, ${String(accepted)} accepted, ${String(starts)} starts`;
  process.stdout.write(`seed ${String(seed)}: ${counts}, ${String(faults.length)} faults\n`);
  if (violations.length === 0) {
    await rm(folder, { recursive: true });
    return true;
  }
  process.stdout.write(`${[...lines, ...violations].map((line) => `  ${line}`).join('\n')}\n`);
  process.stdout.write(`  logs in ${folder}\n`);
  return false;
}

await main();
