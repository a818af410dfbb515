/**
 * One run of the soak: real daemons under load and faults from a seed, then a healed cell that has to end all
 * that it accepted, and the judgement.
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
  /** Broken promises. */
  readonly violations: readonly string[];
}

/** A worker's lease of 8 s, a takeover and the longest job of two steps, twice over. */
const MAX_FINISH_MS = 45_000;
const FINISH_POLL_MS = 250;

export async function runSoak(options: SoakOptions): Promise<SoakOutcome> {
  const { seed, hosts = 4, workers = 5, callers = 6, note = () => undefined } = options;
  const random = createRandom(seed);
  const world = await startSoakCell({
    program: options.program,
    folder: options.folder,
    network: `127.${String(1 + (process.pid % 250))}`,
    hosts,
    workers,
  });
  const load = startLoad({ hosts: world.daemons, callers, keys: KEYS, random });
  try {
    const faults = await injectFaults({
      cell: world,
      random,
      durationMs: options.durationMs,
      note,
    });
    await world.heal();
    await load.stop();
    const finalStates = await awaitEnds(world, load);
    const starts = world.workers.flatMap((worker) => worker.starts);
    const violations = checkInvariants({
      jobs: load.jobs,
      starts,
      ends: world.workers.flatMap((worker) => worker.finished),
      finalStates,
      workerProcessorMillis: WORKER_PROCESSOR_MILLIS,
      withdrawnKeys: world.withdrawnKeys,
      faults,
      unexpectedExits: world.daemons.flatMap(({ unexpectedExits }) => unexpectedExits),
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
    await world.close();
  }
}

function isAccepted({ accepted }: SoakJob): boolean {
  return accepted.length > 0;
}

/** Asks all hosts in turn until each accepted job has ended, or the time is over. */
async function awaitEnds(world: SoakCell, load: Load): Promise<ReadonlyMap<string, string>> {
  const states = new Map<string, string>();
  const giveUpAt = performance.now() + MAX_FINISH_MS;
  let open = load.jobs.filter(isAccepted);
  for (let round = 0; open.length > 0 && performance.now() < giveUpAt; round += 1) {
    for (const [index, job] of open.entries()) {
      const daemon = world.daemons[(round + index) % world.daemons.length];
      states.set(job.id, await load.queryState(daemon?.url ?? '', job));
    }
    open = open.filter(
      ({ id }) => !['completed', 'cancelled', 'failed'].includes(states.get(id) ?? ''),
    );
    await sleep(FINISH_POLL_MS);
  }
  return states;
}
