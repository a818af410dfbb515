/**
 * A small cell against the platform's stand-ins: hosts in this process, store and workers over HTTP.
 */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { err } from 'neverthrow';
import { createCellHost } from '../../src/cell-host/index.js';
import type { CellHost } from '../../src/cell-host/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import type { JobState } from '../../src/jobs/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { decodeConfiguration } from '../../platform/decode-configuration.js';
import { decodeJob } from '../../platform/decode-job.js';
import { decodeWorker, WORKER_PREFIX } from '../../platform/decode-worker.js';
import { createStoreClient } from '../../platform/store-client.js';
import { createWorkerConnection } from '../../platform/worker-client.js';
import { startStore } from '../../stand-ins/platform/store.js';
import type { StoreStandIn } from '../../stand-ins/platform/store.js';
import { startWorker } from '../../stand-ins/platform/worker.js';
import type { WorkerStandIn, WorkerStandInOptions } from '../../stand-ins/platform/worker.js';

export const API_KEY = 'key-of-lawns';
export const CALLER = { host: 'lawns.example', path: '/lookups/', key: API_KEY };

export interface ConfigurationOptions {
  readonly version?: number;
  readonly keys?: readonly string[];
  readonly maxAttempts?: number;
  readonly cpuLimitMillicores?: number;
  readonly queues?: readonly { readonly name: string; readonly priority: number }[];
}

/** The operators' configuration as the platform stores it. */
export function createConfigurationJson(options: ConfigurationOptions = {}): string {
  const queues = options.queues ?? [{ name: 'lookups', priority: 0 }];
  return JSON.stringify({
    version: options.version ?? 1,
    routes: queues.map(({ name, priority }) => ({
      name,
      host: 'lawns.example',
      prefix: `/${name}/`,
      service: 'rota',
      priority,
      'max-attempts': options.maxAttempts ?? 3,
      stretch: 2,
      'target-latency-ms': 500,
    })),
    services: [{ name: 'rota', 'admission-control': false }],
    tenants: [
      {
        name: 'lawns',
        'api-keys': options.keys ?? [API_KEY],
        weight: 50,
        cap: { cpu: options.cpuLimitMillicores ?? 0, 'mem-mb': 0, gpu: 0 },
      },
    ],
  });
}

export interface TestCell {
  readonly store: StoreStandIn;
  readonly workers: readonly WorkerStandIn[];
  readonly hosts: CellHost[];
  configure(options: ConfigurationOptions): void;
  /** Adds a host with so many processors, 1 unless given. */
  addHost(processors?: number): Promise<CellHost>;
  addWorker(options?: Partial<WorkerStandInOptions>): Promise<WorkerStandIn>;
  /** Stops a host without any farewell, as a kill does. */
  kill(host: CellHost): void;
  /** The store turns this host away and serves the others, until it is admitted again. */
  rejectStoreCalls(host: CellHost): void;
  allowStoreCalls(host: CellHost): void;
  leader(): Promise<CellHost>;
  close(): Promise<void>;
}

export async function startTestCell(options: { hosts?: number; workers?: number } = {}) {
  const store = await startStore();
  const workers: WorkerStandIn[] = [];
  const hosts: CellHost[] = [];
  const clients: { close(): void }[] = [];
  const names = new Map<CellHost, string>();
  const turnedAway = new Set<string>();

  function configure(configuration: ConfigurationOptions) {
    const value = Buffer.from(createConfigurationJson(configuration)).toString('base64');
    store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
  }

  async function addHost(processors = 1): Promise<CellHost> {
    const client = createStoreClient({ address: store.address });
    clients.push(client);
    const name = `host-${String(names.size + 1)}`;
    const host = createCellHost({
      host: name,
      ip: '127.0.0.1',
      peerPort: await findFreePort(),
      processors,
      minLeaseMs: 1000,
      store: refuseCalls(client, () => turnedAway.has(name)),
      fleet: { prefix: WORKER_PREFIX, decode: decodeWorker },
      connect: createWorkerConnection,
      advise: () => Promise.resolve(undefined),
      configurationKey: 'op/config',
      decodeConfiguration,
      events: SILENT_EVENTS,
      meters: createMeters(),
    });
    names.set(host, name);
    hosts.push(host);
    return host;
  }

  async function addWorker(worker: Partial<WorkerStandInOptions> = {}): Promise<WorkerStandIn> {
    const id = `w-${String(workers.length + 1)}`;
    const started = await startWorker({ store, id, ...worker });
    workers.push(started);
    return started;
  }

  configure({});
  for (let count = 0; count < (options.workers ?? 2); count += 1) await addWorker();
  for (let count = 0; count < (options.hosts ?? 1); count += 1) await addHost();

  const cell: TestCell = {
    store,
    workers,
    hosts,
    configure,
    addHost,
    addWorker,
    kill: (host) => {
      host.close();
      hosts.splice(hosts.indexOf(host), 1);
    },
    rejectStoreCalls: (host) => {
      turnedAway.add(names.get(host) ?? '');
    },
    allowStoreCalls: (host) => {
      turnedAway.delete(names.get(host) ?? '');
    },
    leader: async () => {
      const name = await eventually(() => readLeader(store));
      const host = hosts.find((candidate) => names.get(candidate) === name);
      if (host === undefined) throw new Error(`leader ${name} is not a host of the test`);
      return host;
    },
    close: async () => {
      for (const host of hosts) host.close();
      for (const client of clients) client.close();
      await Promise.all(workers.map((worker) => worker.close()));
      await store.close();
    },
  };
  return cell;
}

/** A store whose calls fail at once while the condition holds. */
function refuseCalls(store: KeyValueStore, isRefused: () => boolean): KeyValueStore {
  const refusal = () => Promise.resolve(err({ kind: 'rejected' as const, detail: 'turned away' }));
  return {
    get: (...call) => (isRefused() ? refusal() : store.get(...call)),
    list: (...call) => (isRefused() ? refusal() : store.list(...call)),
    watch: (...call) => (isRefused() ? refusal() : store.watch(...call)),
    transact: (...call) => (isRefused() ? refusal() : store.transact(...call)),
    grantLease: (...call) => (isRefused() ? refusal() : store.grantLease(...call)),
    renewLease: (...call) => (isRefused() ? refusal() : store.renewLease(...call)),
    endLease: (...call) => (isRefused() ? refusal() : store.endLease(...call)),
  };
}

/** Peers learn the port from the store, so it is chosen before the host starts. */
async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function readLeader(store: StoreStandIn): string | undefined {
  const item = store.items.get('leadership/leader');
  if (item === undefined) return undefined;
  return (JSON.parse(Buffer.from(item.value, 'base64').toString()) as { host: string }).host;
}

/** Steps of a job as a caller would write them. */
export interface StepBody {
  readonly count?: number;
  readonly cpu?: number;
  readonly after?: readonly number[];
  readonly gang?: boolean;
  readonly 'max-per-server'?: number;
}

let nextId = 1;

export function newJobId(): string {
  nextId += 1;
  return nextId.toString(16).padStart(16, '0');
}

export interface SubmitOptions {
  readonly id?: string;
  readonly steps?: readonly StepBody[];
  readonly spec?: string;
  readonly queue?: string;
  readonly key?: string;
  readonly deadlineMs?: number;
}

/** Submits a job at a host and returns its id with the outcome. */
export async function submit(host: CellHost, options: SubmitOptions = {}) {
  const id = options.id ?? newJobId();
  const steps = (options.steps ?? [{}]).map((step) => ({
    count: 1,
    cpu: 1000,
    'mem-mb': 100,
    'estimate-ms': 100,
    ...step,
  }));
  const work = decodeJob(JSON.stringify({ spec: options.spec ?? '', steps }));
  if (work.isErr()) throw new Error(work.error.join('; '));
  const caller = {
    ...CALLER,
    path: `/${options.queue ?? 'lookups'}/${id}`,
    key: options.key ?? API_KEY,
  };
  const deadlineAt = performance.now() + (options.deadlineMs ?? 3000);
  const answer = await host.service.submit(caller, { id, ...work.value }, deadlineAt);
  return { id, answer };
}

/** Waits until the job is shown in the state. */
export function awaitState(host: CellHost, id: string, state: JobState): Promise<true> {
  return eventually(async () => {
    const shown = await host.service.state(id);
    return shown === state ? true : undefined;
  }, `job ${id} to be ${state}`);
}

const EVENTUALLY_MS = 20_000;
const LOOK_INTERVAL_MS = 10;

/** Repeats a look until it finds something. */
export async function eventually<T>(
  look: () => T | undefined | Promise<T | undefined>,
  what = 'the condition to hold',
): Promise<T> {
  const until = performance.now() + EVENTUALLY_MS;
  for (;;) {
    const found = await look();
    if (found !== undefined) return found;
    if (performance.now() > until) throw new Error(`waited in vain for ${what}`);
    await new Promise((resolve) => setTimeout(resolve, LOOK_INTERVAL_MS));
  }
}

/** All starts of all workers, for checks that nothing ran twice. */
export function startsOf(cell: TestCell, job: string) {
  return cell.workers.flatMap(({ starts }) => starts).filter(({ task }) => task.startsWith(job));
}

/** The value, which the test knows to be there. */
export function expectDefined<T>(value: T | undefined): T {
  if (value === undefined) throw new Error('the test expects a value here');
  return value;
}
