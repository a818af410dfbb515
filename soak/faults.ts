/**
 * Injects faults that are drawn from the seed of the soak. Faults may overlap; some consist of a sequence of steps.
 */
import type { Random } from '../stand-ins/random.js';
import type { LinkFault } from './proxy.js';
import { sleep } from './proxy.js';
import type { SoakCell } from './cell.js';

/** Injects a fault and resolves when it is reverted. */
type Fault = (cell: SoakCell, random: Random) => Promise<void>;

/** The period during which a fault was active, in Unix milliseconds. */
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
const LINK_FAULTS: readonly LinkFault[] = [
  'delay',
  'reset',
  'hold-requests',
  'hold-answers',
  'silence',
];
/** Longer than the leader's lease and shorter than the workers'. */
const MAX_PAUSE_MS = 5000;
const STAGGER_MS = 900;
const KEY_WITHDRAWAL_MS = 4000;

const drawDurationMs = (random: Random, most: number) => 200 + random() * most;

function pick<Item>(random: Random, items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)];
  if (item === undefined) throw new Error('cannot pick an item from an empty list');
  return item;
}

const FAULTS: Readonly<Record<string, Fault>> = {
  'kill-host': async ({ daemons }, random) => {
    const daemon = pick(random, daemons);
    await daemon.end('SIGKILL');
    await sleep(drawDurationMs(random, 1500));
    await daemon.start();
  },
  'kill-leader': async (cell) => {
    const daemon = cell.leader();
    await daemon?.end('SIGKILL');
    await daemon?.start();
  },
  'kill-all': async ({ daemons }, random) => {
    await Promise.all(daemons.map((daemon) => daemon.end('SIGKILL')));
    await sleep(drawDurationMs(random, 1000));
    await Promise.all(daemons.map((daemon) => daemon.start()));
  },
  'pause-host': async ({ daemons }, random) => {
    const daemon = pick(random, daemons);
    daemon.pause();
    await sleep(drawDurationMs(random, MAX_PAUSE_MS));
    daemon.resume();
  },
  'pause-leader': async (cell, random) => {
    const daemon = cell.leader();
    daemon?.pause();
    await sleep(drawDurationMs(random, MAX_PAUSE_MS));
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
        await sleep(index * STAGGER_MS);
        await daemon.end('SIGTERM');
        await daemon.start();
      }),
    );
  },
  'reload-settings': async ({ daemons }) => {
    for (const daemon of daemons) {
      await daemon.reload();
      await sleep(STAGGER_MS / 3);
    }
  },
  'harm-store-link': async ({ storeLinks }, random) => {
    await injectLinkFault(pick(random, storeLinks), random);
  },
  'harm-two-store-links': async ({ storeLinks }, random) => {
    await Promise.all([
      injectLinkFault(pick(random, storeLinks), random),
      injectLinkFault(pick(random, storeLinks), random),
    ]);
  },
  'harm-worker-link': async ({ workerLinks }, random) => {
    await injectLinkFault(pick(random, workerLinks), random);
  },
  'harm-all-worker-links': async ({ workerLinks }, random) => {
    await Promise.all(workerLinks.map((link) => injectLinkFault(link, random)));
  },
  'store-down': async (cell, random) => {
    await cell.setStoreFaults({ outage: pick(random, ['error', 'reset', 'hang']) });
    await sleep(drawDurationMs(random, 4000));
    await cell.setStoreFaults({ outage: 'none' });
  },
  'store-slow': async (cell, random) => {
    await cell.setStoreFaults({ delayMs: 200 });
    await sleep(drawDurationMs(random, 3000));
    await cell.setStoreFaults({ delayMs: 0 });
  },
  'store-answers-lost': ({ store }, random) => {
    const delayMs = random() < 0.5 ? 0 : drawDurationMs(random, 3000);
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
    await sleep(drawDurationMs(random, 3000));
    worker.hanging = false;
  },
  'starts-not-answered': ({ workers }, random) => {
    for (const worker of workers) worker.dropStartResponses(1 + Math.floor(random() * 3));
    return Promise.resolve();
  },
  'key-withdrawn': async (cell) => {
    cell.withdrawKey();
    await sleep(KEY_WITHDRAWAL_MS);
    cell.grantKey();
  },
};

export const FAULT_KINDS = Object.keys(FAULTS);

async function injectLinkFault(link: { fault: LinkFault }, random: Random) {
  link.fault = pick(random, LINK_FAULTS);
  await sleep(drawDurationMs(random, MAX_PAUSE_MS));
  link.fault = 'none';
}

/** Starts faults at random intervals for the duration; resolves when the last one is reverted. */
export async function injectFaults(options: FaultOptions): Promise<readonly FaultRecord[]> {
  const { cell, random, durationMs, note } = options;
  const records: FaultRecord[] = [];
  const active: Promise<void>[] = [];
  const endAt = performance.now() + durationMs;
  const startedAt = performance.now();
  while (performance.now() < endAt) {
    await sleep(MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS));
    const kind = pick(random, FAULT_KINDS);
    const record = { kind, from: Date.now(), to: Infinity };
    records.push(record);
    note(`${((performance.now() - startedAt) / 1000).toFixed(1)} s  ${kind}`);
    const fault = FAULTS[kind]?.(cell, random) ?? Promise.resolve();
    active.push(
      fault.then(() => {
        record.to = Date.now();
      }),
    );
  }
  await Promise.all(active);
  return records;
}
