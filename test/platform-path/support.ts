/**
 * Runs a small cell against the platform's stand-ins: the hosts run in this process, and the store and the workers are
 * reached over HTTP.
 */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { err } from 'neverthrow';
import { createCellHost } from '../../src/cell-host/index.js';
import type { CellHost } from '../../src/cell-host/index.js';
import type { WorkerConnection } from '../../src/fleet/index.js';
import type { KeyValueStore } from '../../src/records/index.js';
import type { JobState } from '../../src/jobs/index.js';
import type { EventLog } from '../../src/observability/index.js';
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

/** Returns an operators' configuration in the format in which the platform stores it. */
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
  /** Adds a host with the given number of processors, 1 by default. */
  addHost(processors?: number): Promise<CellHost>;
  addWorker(options?: Partial<WorkerStandInOptions>): Promise<WorkerStandIn>;
  /** Stops a host abruptly, as a kill does. */
  kill(host: CellHost): void;
  /** Makes the store reject this host's calls, and only these, until `allowStoreCalls`. */
  rejectStoreCalls(host: CellHost): void;
  allowStoreCalls(host: CellHost): void;
  /** Cuts a host and a worker, which reach each other, off from the store and the other hosts. */
  isolate(host: CellHost, worker: WorkerStandIn): void;
  /** Lets all hosts reach the worker and its later incarnations again. */
  reconnect(worker: WorkerStandIn): void;
  leader(): Promise<CellHost>;
  close(): Promise<void>;
}

export interface TestCellOptions {
  readonly hosts?: number;
  readonly workers?: number;
  /** Bytes of memory that open jobs may take up at a leader. */
  readonly openBytesLimit?: number;
  /** Log of all hosts. */
  readonly events?: EventLog;
}

export async function startTestCell(options: TestCellOptions = {}) {
  const store = await startStore();
  const workers: WorkerStandIn[] = [];
  const hosts: CellHost[] = [];
  const clients: { close(): void }[] = [];
  const hostNames = new Map<CellHost, string>();
  const rejectedHosts = new Set<string>();
  /** The only host that reaches the worker, by the worker's id; any host if there is none. */
  const onlyHosts = new Map<string, string>();

  function configure(configuration: ConfigurationOptions) {
    const value = Buffer.from(createConfigurationJson(configuration)).toString('base64');
    store.items.apply([{ key: 'op/config', value, lease: 0 }], []);
  }

  async function addHost(processors = 1): Promise<CellHost> {
    const client = createStoreClient({ address: store.address });
    clients.push(client);
    const name = `host-${String(hostNames.size + 1)}`;
    const host = createCellHost({
      host: name,
      ip: '127.0.0.1',
      peerPort: await findFreePort(),
      processors,
      coreShare: 1,
      minLeaseMs: 1000,
      store: rejectCallsWhile(client, () => rejectedHosts.has(name)),
      fleet: { prefix: WORKER_PREFIX, decode: decodeWorker },
      connect: (address, incarnation) =>
        failCallsWhile(
          createWorkerConnection(address, incarnation),
          () => (onlyHosts.get(incarnation.id) ?? name) !== name,
        ),
      ...(options.openBytesLimit === undefined ? {} : { openBytesLimit: options.openBytesLimit }),
      advise: () => Promise.resolve(undefined),
      configurationKey: 'op/config',
      decodeConfiguration,
      events: options.events ?? SILENT_EVENTS,
      meters: createMeters(),
    });
    hostNames.set(host, name);
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
      rejectedHosts.add(hostNames.get(host) ?? '');
    },
    allowStoreCalls: (host) => {
      rejectedHosts.delete(hostNames.get(host) ?? '');
    },
    isolate: (host, worker) => {
      rejectedHosts.add(hostNames.get(host) ?? '');
      onlyHosts.set(worker.id, hostNames.get(host) ?? '');
    },
    reconnect: (worker) => {
      onlyHosts.delete(worker.id);
    },
    leader: async () => {
      const name = await eventually(() => readLeader(store));
      const host = hosts.find((candidate) => hostNames.get(candidate) === name);
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

/** Wraps a store so that its calls fail at once while `isRejected` returns true. */
function rejectCallsWhile(store: KeyValueStore, isRejected: () => boolean): KeyValueStore {
  const reject = () =>
    Promise.resolve(err({ kind: 'rejected' as const, detail: 'rejected by the test' }));
  return {
    get: (...call) => (isRejected() ? reject() : store.get(...call)),
    list: (...call) => (isRejected() ? reject() : store.list(...call)),
    watch: (...call) => (isRejected() ? reject() : store.watch(...call)),
    transact: (...call) => (isRejected() ? reject() : store.transact(...call)),
    grantLease: (...call) => (isRejected() ? reject() : store.grantLease(...call)),
    renewLease: (...call) => (isRejected() ? reject() : store.renewLease(...call)),
    endLease: (...call) => (isRejected() ? reject() : store.endLease(...call)),
  };
}

/** Wraps a connection so that its calls are not answered while `isCut` returns true. */
function failCallsWhile(connection: WorkerConnection, isCut: () => boolean): WorkerConnection {
  const fail = () => Promise.resolve({ kind: 'unknown' as const, detail: 'cut by the test' });
  return {
    start: (order) => (isCut() ? fail() : connection.start(order)),
    stop: (order) => (isCut() ? fail() : connection.stop(order)),
    renew: (renewal) => (isCut() ? fail() : connection.renew(renewal)),
    close: () => {
      connection.close();
    },
  };
}

/** The port is chosen before the host starts because the host announces it to its peers in the store. */
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

/** One step of a job, in the format that callers send. */
export interface StepBody {
  readonly count?: number;
  readonly cpu?: number;
  readonly after?: readonly number[];
  readonly gang?: boolean;
  readonly 'max-per-server'?: number;
  readonly 'estimate-ms'?: number;
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

/** Submits a job to a host and returns its id and the host's answer. */
export async function submit(host: CellHost, options: SubmitOptions = {}) {
  const id = options.id ?? newJobId();
  const steps = (options.steps ?? [{}]).map((step) => ({
    count: 1,
    cpu: 1000,
    'mem-mb': 100,
    'estimate-ms': 100,
    ...step,
  }));
  const job = decodeJob(JSON.stringify({ spec: options.spec ?? '', steps }));
  if (job.isErr()) throw new Error(job.error.join('; '));
  const caller = {
    ...CALLER,
    path: `/${options.queue ?? 'lookups'}/${id}`,
    key: options.key ?? API_KEY,
  };
  const deadlineAt = performance.now() + (options.deadlineMs ?? 3000);
  const answer = await host.service.submit(caller, { id, ...job.value }, deadlineAt);
  return { id, answer };
}

/** Waits until the host reports the job in the given state. */
export function awaitState(host: CellHost, id: string, state: JobState): Promise<true> {
  return eventually(async () => {
    const shown = await host.service.state(id);
    return shown === state ? true : undefined;
  }, `job ${id} to be ${state}`);
}

const TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 10;

/** Polls until a value is returned, and fails after a timeout. */
export async function eventually<T>(
  poll: () => T | undefined | Promise<T | undefined>,
  condition = 'the condition to hold',
): Promise<T> {
  const giveUpAt = performance.now() + TIMEOUT_MS;
  for (;;) {
    const result = await poll();
    if (result !== undefined) return result;
    if (performance.now() > giveUpAt) throw new Error(`timed out waiting for ${condition}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

/** Lists the starts of a job's tasks on all workers, so that a test can check that nothing ran twice. */
export function startsOf(cell: TestCell, job: string) {
  return cell.workers.flatMap(({ starts }) => starts).filter(({ task }) => task.startsWith(job));
}

export interface StoreFaults {
  readonly outage?: 'none' | 'error' | 'reset' | 'hang';
  readonly delayMs?: number;
}

export async function setStoreFaults(cell: TestCell, faults: StoreFaults): Promise<void> {
  await fetch(`${cell.store.url}/control/faults`, {
    method: 'PATCH',
    body: JSON.stringify(faults),
  });
}

/** Returns the value, or fails the test if it is undefined. */
export function expectDefined<T>(value: T | undefined): T {
  if (value === undefined) throw new Error('expected a value, got undefined');
  return value;
}
