/**
 * The cell of a soak: stand-ins for the store and the workers in this process, daemons in separate processes, and
 * a proxy on each link to the store and to the workers.
 */
import { join } from 'node:path';
import { fetch } from 'undici';
import { startStore } from '../stand-ins/platform/store.js';
import type { StoreStandIn } from '../stand-ins/platform/store.js';
import { startWorker } from '../stand-ins/platform/worker.js';
import type { WorkerStandIn } from '../stand-ins/platform/worker.js';
import type { Faults } from '../stand-ins/faults.js';
import { createDaemon, type Daemon } from './daemons.js';
import { startProxy, type Proxy } from './proxy.js';

export const KEYS = ['key-of-lawns', 'second-key-of-lawns'] as const;
export const WORKER_PROCESSOR_MILLIS = 6000;

export interface WithdrawnKey {
  readonly key: string;
  readonly from: number;
  to: number;
}

export interface SoakCell {
  readonly store: StoreStandIn;
  readonly workers: readonly WorkerStandIn[];
  readonly daemons: readonly Daemon[];
  /** One for each daemon. */
  readonly storeLinks: readonly Proxy[];
  /** One for each worker. */
  readonly workerLinks: readonly Proxy[];
  readonly withdrawnKeys: readonly WithdrawnKey[];
  leader(): Daemon | undefined;
  setStoreFaults(faults: Partial<Faults>): Promise<void>;
  /** Withdraws the second key; `grantKey` grants it again. */
  withdrawKey(): void;
  grantKey(): void;
  /** Reverts all faults and starts the daemons that are not running. */
  heal(): Promise<void>;
  close(): Promise<void>;
}

export interface SoakCellOptions {
  readonly program: string;
  readonly folder: string;
  readonly network: string;
  readonly hosts: number;
  readonly workers: number;
}

export async function startSoakCell(options: SoakCellOptions): Promise<SoakCell> {
  const store = await startStore();
  const storeLinks: Proxy[] = [];
  const workerLinks: Proxy[] = [];
  const daemons: Daemon[] = [];
  const workers: WorkerStandIn[] = [];
  const withdrawnKeys: WithdrawnKey[] = [];
  let version = 0;

  function writeConfiguration(keys: readonly string[]) {
    version += 1;
    const value = Buffer.from(describeConfiguration(version, keys)).toString('base64');
    store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
  }

  writeConfiguration(KEYS);
  for (let number = 1; number <= options.workers; number += 1) {
    workers.push(
      await startWorker({
        store,
        id: `w-${String(number)}`,
        processorMillis: WORKER_PROCESSOR_MILLIS,
        workMs: (spec) => (JSON.parse(spec) as { ms: number }).ms,
        advertise: async (address) => {
          const proxy = await startProxy(address);
          workerLinks.push(proxy);
          return proxy.address;
        },
      }),
    );
  }
  for (let number = 1; number <= options.hosts; number += 1) {
    const link = await startProxy(store.address);
    storeLinks.push(link);
    const { program, network } = options;
    const folder = join(options.folder, 'hosts');
    daemons.push(
      await createDaemon({ program, folder, network, number, storeAddress: link.address }),
    );
  }
  await Promise.all(daemons.map((daemon) => daemon.start()));

  async function setStoreFaults(faults: Partial<Faults>) {
    await fetch(`${store.url}/control/faults`, { method: 'PATCH', body: JSON.stringify(faults) });
  }

  function grantKey() {
    writeConfiguration(KEYS);
    for (const span of withdrawnKeys) span.to = Math.min(span.to, Date.now());
  }

  return {
    store,
    workers,
    daemons,
    storeLinks,
    workerLinks,
    withdrawnKeys,
    leader: () => {
      const item = store.items.get('leadership/leader');
      if (item === undefined) return undefined;
      const { host } = JSON.parse(Buffer.from(item.value, 'base64').toString()) as { host: string };
      return daemons.find(({ name }) => name === host);
    },
    setStoreFaults,
    withdrawKey: () => {
      writeConfiguration([KEYS[0]]);
      withdrawnKeys.push({ key: KEYS[1], from: Date.now(), to: Infinity });
    },
    grantKey,
    heal: async () => {
      await setStoreFaults({ outage: 'none', delayMs: 0 });
      store.dropTransactionResponses(0);
      for (const link of [...storeLinks, ...workerLinks]) link.fault = 'none';
      for (const worker of workers) {
        worker.hanging = false;
        worker.dropStartResponses(0);
      }
      grantKey();
      for (const daemon of daemons) daemon.resume();
      await Promise.all(daemons.map((daemon) => daemon.start()));
    },
    close: async () => {
      await Promise.all(daemons.map((daemon) => daemon.end('SIGKILL')));
      await Promise.all(workers.map((worker) => worker.close()));
      await Promise.all([...storeLinks, ...workerLinks].map((proxy) => proxy.close()));
      await store.close();
    },
  };
}

/** A configuration with one queue, which accepts any of the keys. */
function describeConfiguration(version: number, keys: readonly string[]): string {
  const queue = { name: 'lookups', host: 'lawns.example', prefix: '/lookups/', service: 'rota' };
  const terms = { priority: 0, 'max-attempts': 5, stretch: 2, 'target-latency-ms': 500 };
  const cap = { cpu: 0, 'mem-mb': 0, gpu: 0 };
  return JSON.stringify({
    version,
    routes: [{ ...queue, ...terms }],
    services: [{ name: 'rota', 'admission-control': false }],
    tenants: [{ name: 'lawns', 'api-keys': keys, weight: 50, cap }],
  });
}
