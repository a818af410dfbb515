/**
 * Runs one soak: real daemons under load and seeded faults. Then heals the cell, waits until all accepted jobs
 * have ended, and checks the invariants.
 */
import { createRandom } from '../stand-ins/random.js';
import { injectFaults } from './faults.js';
import { checkInvariants } from './invariants.js';
import { startLoad, type Load, type SoakJob } from './load.js';
import { sleep } from './proxy.js';
import { KEYS, startSoakCell, WORKER_PROCESSOR_MILLIS, type SoakCell } from './cell.js';

export interface SoakOptions {
  readonly seed: number;
  readonly durationMs: number;
  /** Path of the built daemon. */
  readonly program: string;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly hosts?: number;
  readonly workers?: number;
  readonly callers?: number;
  readonly note?: (line: string) => void;
}

export interface SoakOutcome {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly jobs: number;
  readonly accepted: number;
  readonly starts: number;
  /** One line for each violated invariant. */
  readonly violations: readonly string[];
}

/** Twice the sum of a worker's lease (8 s), a takeover and the longest job of two steps. */
const COMPLETION_TIMEOUT_MS = 45_000;
const COMPLETION_POLL_MS = 250;

export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const { seed, hosts = 4, workers = 5, callers = 6, note = () => undefined } = options;
  const random = createRandom(seed);
  const cell = await startSoakCell({
    program: options.program,
    folder: options.folder,
    network: `127.${String(1 + (process.pid % 250))}`,
    hosts,
    workers,
  });
  const load = startLoad({ hosts: cell.daemons, callers, keys: KEYS, random });
  try {
    const faults = await injectFaults({
      cell,
      random,
      durationMs: options.durationMs,
      note,
    });
    await cell.heal();
    await load.stop();
    const finalStates = await awaitTerminalStates(cell, load);
    const starts = cell.workers.flatMap((worker) => worker.starts);
    const violations = checkInvariants({
      jobs: load.jobs,
      starts,
      ends: cell.workers.flatMap((worker) => worker.finished),
      finalStates,
      workerProcessorMillis: WORKER_PROCESSOR_MILLIS,
      withdrawnKeys: cell.withdrawnKeys,
      faults,
      unexpectedExits: cell.daemons.flatMap(({ unexpectedExits }) => unexpectedExits),
    });
    return {
      seed,
      faults: faults.map(({ kind }) => kind),
      jobs: load.jobs.length,
      accepted: load.jobs.filter(isAccepted).length,
      starts: starts.length,
      violations,
    };
  } finally {
    await load.stop();
    await load.close();
    await cell.close();
  }
}

function isAccepted({ accepted }: SoakJob): boolean {
  return accepted.length > 0;
}

/** Queries the hosts in turn until every accepted job has ended or the timeout has passed. */
async function awaitTerminalStates(
  cell: SoakCell,
  load: Load,
): Promise<ReadonlyMap<string, string>> {
  const states = new Map<string, string>();
  const giveUpAt = performance.now() + COMPLETION_TIMEOUT_MS;
  let open = load.jobs.filter(isAccepted);
  for (let round = 0; open.length > 0 && performance.now() < giveUpAt; round += 1) {
    for (const [index, job] of open.entries()) {
      const daemon = cell.daemons[(round + index) % cell.daemons.length];
      states.set(job.id, await load.queryState(daemon?.url ?? '', job));
    }
    open = open.filter(
      ({ id }) => !['completed', 'cancelled', 'failed'].includes(states.get(id) ?? ''),
    );
    await sleep(COMPLETION_POLL_MS);
  }
  return states;
}
