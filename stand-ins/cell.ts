/**
 * Starts a whole cell as separate processes on the loopback interface: the platform's
 * stand-ins, workers, and entry daemons in one or more data centres.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { stringify } from 'yaml';
import { hashSecret } from '../src/catalogue/index.js';
import {
  callControlRoute,
  startHostList,
  startKeyValue,
  startProcess,
  startWorkerProcess,
  type RunningProcess,
  type StartedWorker,
  type WorkersProcess,
} from './control.js';
import { createOperatorClient, type OperatorClient } from './operator.js';

/** One data centre of a cell. */
export interface DataCentreSpec {
  readonly name: string;
  readonly hosts: number;
  /** Worker specs as the worker stand-in accepts them, without `dataCentre`. */
  readonly workers: readonly object[];
}

export interface CellOptions {
  readonly dataCentres: readonly DataCentreSpec[];
  readonly catalogue: string;
  /** Settings that replace the defaults, for example `timers`. */
  readonly settings?: object;
  /** Command-line options for Node.js in the daemons. */
  readonly nodeArgs?: readonly string[];
  readonly readyTimeoutMs?: number;
}

/** A running entry daemon. */
export interface EntryProcess extends RunningProcess {
  readonly id: string;
  readonly dataCentre: string;
  readonly linkUrl: string;
}

export interface Cell {
  readonly keyValue: RunningProcess;
  readonly hostList: RunningProcess;
  readonly workers: WorkersProcess;
  /** Running daemons; those that the cell starts with are sorted by id. */
  readonly hosts: EntryProcess[];
  readonly operator: OperatorClient;
  /** Starts a daemon; its id is new or belongs to a daemon that has ended. */
  startHost(id: string, dataCentre: string): Promise<EntryProcess>;
  /** Publishes the current hosts and workers in the host list. */
  publishFleet(changes?: FleetChanges): Promise<void>;
  /** Waits until every host has the configuration and current keys, and every worker is held by a host. */
  ready(): Promise<void>;
  stop(): Promise<void>;
}

export interface FleetChanges {
  /** Ids of workers that the host list shows as leaving. */
  readonly leaving?: readonly string[];
  /** Ids of workers to omit from the host list. */
  readonly without?: readonly string[];
  /** Whether the change is visible without the list's lag; defaults to true. */
  readonly immediate?: boolean;
}

const ENTRY_SCRIPT = fileURLToPath(new URL('../src/bin/sapphirewing-entry.js', import.meta.url));
/** Accepted as the bootstrap key, and as an operator key if the catalogue contains its hash. */
export const OPERATOR_KEY = 'operator-key-of-the-cell';
const LINK_SECRET = 'a-secret-between-the-hosts-of-the-cell';
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
const HTTP_OK = 200;

export async function startCell(options: CellOptions): Promise<Cell> {
  const folder = await mkdtemp(join(tmpdir(), 'sapphirewing-'));
  const [keyValue, hostList, workers] = await Promise.all([
    startKeyValue(),
    startHostList(),
    startWorkerProcess(
      options.dataCentres.flatMap(({ name, workers: specs }) =>
        specs.map((spec) => ({ ...spec, dataCentre: name })),
      ),
    ),
  ]);
  const hosts: EntryProcess[] = [];

  async function startHost(id: string, dataCentre: string): Promise<EntryProcess> {
    const file = join(folder, `${id}.yaml`);
    const settings = createHostSettings({ id, dataCentre, keyValue, hostList, options });
    await writeFile(file, stringify(settings));
    const started = await startProcess({
      script: ENTRY_SCRIPT,
      args: ['--settings', file],
      nodeArgs: options.nodeArgs ?? [],
    });
    const linkUrl = /^listening \S+ (?<link>\S+)/m.exec(started.output())?.groups?.link ?? '';
    const entry = { ...started, id, dataCentre, linkUrl };
    const index = hosts.findIndex((host) => host.id === id);
    if (index < 0) hosts.push(entry);
    else hosts[index] = entry;
    return entry;
  }

  async function publishFleet(changes: FleetChanges = {}): Promise<void> {
    const { leaving = [], without = [], immediate = true } = changes;
    await callControlRoute(hostList.url, 'PUT', `/control/fleet?immediate=${String(immediate)}`, {
      hosts: hosts.map(({ id, dataCentre, url, linkUrl }) => {
        return { id, dataCentre, url, linkUrl, state: 'live' };
      }),
      workers: workers.workers
        .filter(({ id }) => !without.includes(id))
        .map((worker) => ({ ...worker, state: leaving.includes(worker.id) ? 'leaving' : 'live' })),
    });
  }

  const operator = createOperatorClient(() => hosts, OPERATOR_KEY);
  const cell: Cell = {
    keyValue,
    hostList,
    workers,
    hosts,
    operator,
    startHost,
    publishFleet,
    ready: () =>
      waitUntilReady(operator, hosts, workers.workers, options.readyTimeoutMs ?? READY_TIMEOUT_MS),
    stop: async () => {
      await Promise.all(hosts.map((host) => host.stop('SIGKILL')));
      await Promise.all([keyValue, hostList, workers].map((standIn) => standIn.stop('SIGKILL')));
      await rm(folder, { recursive: true, force: true });
    },
  };
  try {
    await startHosts(cell, options);
    return cell;
  } catch (error) {
    await cell.stop();
    throw error;
  }
}

async function startHosts(cell: Cell, options: CellOptions): Promise<void> {
  await Promise.all(
    options.dataCentres.flatMap(({ name, hosts }) =>
      Array.from({ length: hosts }, (_, index) =>
        cell.startHost(`${name}-host-${String(index + 1)}`, name),
      ),
    ),
  );
  cell.hosts.sort((left, right) => left.id.localeCompare(right.id));
  await cell.publishFleet();
  const applied = await cell.operator.apply(options.catalogue);
  if (applied.status !== HTTP_OK) {
    throw new Error(`The catalogue was not applied: ${applied.detail}`);
  }
  await cell.ready();
}

interface HostSettingsInput {
  readonly id: string;
  readonly dataCentre: string;
  readonly keyValue: RunningProcess;
  readonly hostList: RunningProcess;
  readonly options: CellOptions;
}

function createHostSettings({
  id,
  dataCentre,
  keyValue,
  hostList,
  options,
}: HostSettingsInput): object {
  return {
    host: { id, dataCentre },
    dataCentres: options.dataCentres.map(({ name }) => name),
    listen: { address: '127.0.0.1', port: 0 },
    advertise: 'http://127.0.0.1:0',
    links: {
      address: '127.0.0.1',
      port: 0,
      advertise: 'ws://127.0.0.1:0',
      secret: LINK_SECRET,
    },
    store: keyValue.url,
    hostList: hostList.url,
    log: { level: 'warn' },
    operators: { bootstrapKeyHash: hashSecret(OPERATOR_KEY) },
    ...options.settings,
  };
}

/**
 * Polls the operator API until every host has a configuration and current keys, and as many workers
 * are listed as held as the cell has.
 */
async function waitUntilReady(
  operator: OperatorClient,
  hosts: readonly EntryProcess[],
  workers: readonly StartedWorker[],
  timeoutMs: number,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  let state = '';
  while (Date.now() < deadline) {
    const [hostRows, workerRows] = await Promise.all([operator.hosts(), operator.workers()]);
    const readyHosts = hostRows.filter((row) => row.revision > 0 && row.keysCurrent).length;
    state = `${String(readyHosts)} of ${String(hosts.length)} hosts and ${String(workerRows.length)} of ${String(workers.length)} workers are ready`;
    if (readyHosts === hosts.length && workerRows.length >= workers.length) return;
    await delay(READY_POLL_MS);
  }
  throw new Error(
    `The cell is not ready: ${state}.\n${hosts.map((host) => host.output()).join('')}`,
  );
}
