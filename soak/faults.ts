/**
 * Faults of a soak, drawn from its seed: each begins while others may still last, alone or in series.
 */
import type { Random } from '../stand-ins/random.js';
import type { LinkFault } from './proxy.js';
import { sleep } from './proxy.js';
import type { SoakCell } from './cell.js';

/** A fault: does harm and resolves when it has undone it. */
type Fault = (world: SoakCell, random: Random) => Promise<void>;

/** When a fault was in force, in Unix milliseconds. */
export interface FaultRecord {
  readonly kind: string;
  readonly from: number;
  to: number;
}

export interface FaultOptions {
  readonly cell: SoakCell;
  readonly random: Random;
  readonly durationMs: number;
  readonly note: (line: string) => void;
}

const MIN_GAP_MS = 500;
const MAX_GAP_MS = 2500;
const LINK_HARMS: readonly LinkFault[] = [
  'delay',
  'reset',
  'hold-requests',
  'hold-answers',
  'silence',
];
/** Longer than the leader's lease and shorter than the workers'. */
const MAX_PAUSE_MS = 5000;
const SERIES_GAP_MS = 900;
const WITHDRAWN_MS = 4000;

const drawMs = (random: Random, most: number) => 200 + random() * most;

function pick<Item>(random: Random, items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('There is nothing to choose from.');
  return item;
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'kill-host': async ({ daemons }, random) => {
    const daemon = pick(random, daemons);
    await daemon.end('SIGKILL');
    await sleep(drawMs(random, 1500));
    await daemon.start();
  },
  'kill-leader': async (world) => {
    const daemon = world.leader();
    await daemon?.end('SIGKILL');
    await daemon?.start();
  },
  'kill-all': async ({ daemons }, random) => {
    await Promise.all(daemons.map((daemon) => daemon.end('SIGKILL')));
    await sleep(drawMs(random, 1000));
    await Promise.all(daemons.map((daemon) => daemon.start()));
  },
  'pause-host': async ({ daemons }, random) => {
    const daemon = pick(random, daemons);
    daemon.pause();
    await sleep(drawMs(random, MAX_PAUSE_MS));
    daemon.resume();
  },
  'pause-leader': async (world, random) => {
    const daemon = world.leader();
    daemon?.pause();
    await sleep(drawMs(random, MAX_PAUSE_MS));
    daemon?.resume();
  },
  'stop-host': async ({ daemons }, random) => {
    const daemon = pick(random, daemons);
    await daemon.end('SIGTERM');
    await daemon.start();
  },
  'rolling-restart': async ({ daemons }) => {
    await Promise.all(
      daemons.map(async (daemon, index) => {
        await sleep(index * SERIES_GAP_MS);
        await daemon.end('SIGTERM');
        await daemon.start();
      }),
    );
  },
  'reload-settings': async ({ daemons }) => {
    for (const daemon of daemons) {
      await daemon.reload();
      await sleep(SERIES_GAP_MS / 3);
    }
  },
  'harm-store-link': async ({ storeLinks }, random) => {
    await harmLink(pick(random, storeLinks), random);
  },
  'harm-two-store-links': async ({ storeLinks }, random) => {
    await Promise.all([
      harmLink(pick(random, storeLinks), random),
      harmLink(pick(random, storeLinks), random),
    ]);
  },
  'harm-worker-link': async ({ workerLinks }, random) => {
    await harmLink(pick(random, workerLinks), random);
  },
  'harm-all-worker-links': async ({ workerLinks }, random) => {
    await Promise.all(workerLinks.map((link) => harmLink(link, random)));
  },
  'store-down': async (world, random) => {
    await world.setStoreFaults({ outage: pick(random, ['error', 'reset', 'hang']) });
    await sleep(drawMs(random, 4000));
    await world.setStoreFaults({ outage: 'none' });
  },
  'store-slow': async (world, random) => {
    await world.setStoreFaults({ delayMs: 200 });
    await sleep(drawMs(random, 3000));
    await world.setStoreFaults({ delayMs: 0 });
  },
  'store-answers-lost': ({ store }, random) => {
    const delayMs = random() < 0.5 ? 0 : drawMs(random, 3000);
    store.dropTransactionResponses(1 + Math.floor(random() * 8), delayMs);
    return Promise.resolve();
  },
  'store-history-dropped': ({ store }) => {
    store.items.compact();
    return Promise.resolve();
  },
  'worker-hangs': async ({ workers }, random) => {
    const worker = pick(random, workers);
    worker.hanging = true;
    await sleep(drawMs(random, 3000));
    worker.hanging = false;
  },
  'starts-not-answered': ({ workers }, random) => {
    for (const worker of workers) worker.dropStartResponses(1 + Math.floor(random() * 3));
    return Promise.resolve();
  },
  'key-withdrawn': async (world) => {
    world.withdrawKey();
    await sleep(WITHDRAWN_MS);
    world.grantKey();
  },
};

export const FAULT_KINDS = Object.keys(FAULTS);

async function harmLink(link: { fault: LinkFault }, random: Random) {
  link.fault = pick(random, LINK_HARMS);
  await sleep(drawMs(random, MAX_PAUSE_MS));
  link.fault = 'none';
}

/** Begins faults for the duration; resolves when the last one is undone. */
export async function injectFaults(options: FaultOptions): Promise<readonly FaultRecord[]> {
  const { cell, random, durationMs, note } = options;
  const records: FaultRecord[] = [];
  const lasting: Promise<void>[] = [];
  const endAt = performance.now() + durationMs;
  const startedAt = performance.now();
  while (performance.now() < endAt) {
    await sleep(MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS));
    const kind = pick(random, FAULT_KINDS);
    const record = { kind, from: Date.now(), to: Infinity };
    records.push(record);
    note(`${((performance.now() - startedAt) / 1000).toFixed(1)} s  ${kind}`);
    const fault = FAULTS[kind]?.(cell, random) ?? Promise.resolve();
    lasting.push(
      fault.then(() => {
        record.to = Date.now();
      }),
    );
  }
  await Promise.all(lasting);
  return records;
}
