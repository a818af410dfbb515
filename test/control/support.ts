/**
 * Starts a small cell with short timers for the tests of guarantees under failure, and provides their shared helpers:
 * callers, store faults, partitions between data centres and the records of the workers.
 */
import { Agent, request } from 'undici';
import { stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell, type CellOptions } from '../../stand-ins/cell.js';
import { callControlRoute } from '../../stand-ins/control.js';

export { OPERATOR_KEY, type Cell };

/** Seed of the test run, printed with every reported figure. */
export const SEED = 20_261_204;
export const TEAM_KEY = 'key-of-team-lawns';
export const OTHER_KEY = 'key-of-team-seams';
export const DATA_CENTRES = ['dc1', 'dc2'];

const TIMERS = {
  heartbeatMs: 100,
  suspectAfterMs: 600,
  leaseMs: 1500,
  keyStalenessMs: 1500,
  drainGraceMs: 100,
};
const POLL_INTERVAL_MS = 20;
const DEFAULT_TIMEOUT_MS = 15_000;

interface CatalogueOptions {
  readonly limit?: number;
  readonly withoutTeamKey?: boolean;
  /** Name of an additional entry, which makes the catalogue differ from all others. */
  readonly extraEntry?: string;
}

export function createCatalogueYaml(options: CatalogueOptions = {}): string {
  const { limit = 1000, withoutTeamKey = false, extraEntry } = options;
  const entry = { owner: 'lawns', idempotent: true, size: { processors: 1, memoryMb: 64 } };
  return stringify({
    teams: { lawns: { share: 1, limit }, seams: { share: 1, limit: 1000 } },
    entries: {
      lookup: { ...entry, class: 'interactive' },
      booking: { ...entry, class: 'interactive', idempotent: false },
      'open-lookup': { ...entry, class: 'interactive', open: true },
      batch: { ...entry, class: 'batch' },
      plan: { ...entry, class: 'gang', tasks: 3 },
      ...(extraEntry !== undefined && { [extraEntry]: { ...entry, class: 'batch' } }),
    },
    keys: {
      ...(!withoutTeamKey && {
        'lawns-1': { team: 'lawns', role: 'submitter', hash: hashSecret(TEAM_KEY) },
      }),
      'seams-1': { team: 'seams', role: 'submitter', hash: hashSecret(OTHER_KEY) },
      'operator-1': { role: 'operator', hash: hashSecret(OPERATOR_KEY) },
    },
  });
}

export interface TestCellOptions {
  readonly hosts?: number;
  readonly workers?: number;
  readonly slots?: number;
  readonly limit?: number;
}

/** Starts a cell of two data centres of equal size. */
export async function startTestCell(options: TestCellOptions = {}): Promise<Cell> {
  const { hosts = 2, workers = 2, slots = 8, limit } = options;
  const capacity = { processors: slots, memoryMb: 64 * slots, accelerators: 0 };
  const cellOptions: CellOptions = {
    dataCentres: DATA_CENTRES.map((name) => ({
      name,
      hosts,
      workers: Array.from({ length: workers }, (_, index) => ({
        id: `${name}-worker-${String(index + 1)}`,
        capacity,
        slots,
      })),
    })),
    catalogue: createCatalogueYaml(limit === undefined ? {} : { limit }),
    settings: { timers: TIMERS, faultInjection: true },
  };
  return startCell(cellOptions);
}

/** Loads that have not been stopped; one that is left by a failed test would keep the test run from ending. */
const activeLoads = new Set<Load>();

/** Starts a cell before the tests of the calling suite and stops it after them. */
export function useCell(options?: TestCellOptions): () => Cell {
  let cell: Cell | undefined;
  before(async () => {
    cell = await startTestCell(options);
  });
  afterEach(async () => {
    await Promise.all([...activeLoads].map((load) => load.stop()));
  });
  after(async () => {
    await cell?.stop();
  });
  return () => {
    if (cell === undefined) throw new Error('The cell has not started.');
    return cell;
  };
}

export interface Endpoint {
  readonly url: string;
}

export interface Submission {
  readonly entry: string;
  readonly input?: unknown;
  readonly key?: string | undefined;
  readonly id?: string;
  readonly wait?: boolean;
}

export interface Answer {
  readonly status: number;
  readonly reason: string | undefined;
  readonly text: string;
  readonly id: string;
}

/** Sends one request over a connection of its own, or over the agent's connections. */
export async function submit(
  host: Endpoint,
  { entry, input = {}, key, id, wait }: Submission,
  agent?: Agent,
): Promise<Answer> {
  const response = await request(`${host.url}/v1/requests`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key !== undefined && { authorization: `Bearer ${key}` }),
    },
    body: JSON.stringify({ entry, input, ...(id && { id }), ...(wait !== undefined && { wait }) }),
    ...(agent ? { dispatcher: agent } : { reset: true }),
  });
  return toAnswer(response.statusCode, response.headers, await response.body.text());
}

/** Reads the status of a job and waits up to `waitMs` for its end. */
export async function readStatus(host: Endpoint, id: string, waitMs: number): Promise<Answer> {
  const response = await request(`${host.url}/v1/requests/${id}?waitMs=${String(waitMs)}`, {
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    reset: true,
  });
  return toAnswer(response.statusCode, response.headers, await response.body.text());
}

function toAnswer(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): Answer {
  const reason = /"reason":"(?<reason>[^"]+)"/.exec(text)?.groups?.reason;
  const bodyId = /"id":"(?<id>[^"]+)"/.exec(text)?.groups?.id ?? '';
  return { status, reason, text, id: String(headers['sapphirewing-request'] ?? bodyId) };
}

/**
 * Polls until the check resolves with true, and returns how long that took in milliseconds. The error of a timeout
 * contains the last result.
 */
export async function eventually(
  condition: string,
  check: () => Promise<unknown>,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<number> {
  const startedAt = Date.now();
  let lastResult: unknown;
  while (Date.now() - startedAt < timeoutMs) {
    lastResult = await check().catch((error: unknown) => String(error));
    if (lastResult === true) return Date.now() - startedAt;
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error(
    `${condition}: not within ${String(timeoutMs)} ms; last result: ${JSON.stringify(lastResult)}`,
  );
}

export async function setStoreFaults({ keyValue }: Cell, faults: object): Promise<void> {
  await callControlRoute(keyValue.url, 'PATCH', '/control/faults', faults);
}

/** Cuts the links between two groups of hosts, or restores all links if no predicate is given. */
export async function partition(
  { hosts, operator }: Cell,
  isInFirstGroup?: (host: Cell['hosts'][number]) => boolean,
): Promise<void> {
  await Promise.all(
    hosts.map((host) => {
      const unreachable = hosts.filter(
        (other) => isInFirstGroup && isInFirstGroup(other) !== isInFirstGroup(host),
      );
      const faults = unreachable.map(({ id }) => ({ peer: id, direction: 'both', effect: 'drop' }));
      return operator.setFaults(host, faults);
    }),
  );
}

/** Removes all faults and waits until every host has current keys and every worker has a holder. */
export async function heal(cell: Cell): Promise<void> {
  await setStoreFaults(cell, { outage: 'none', delayMs: 0, loseAnswers: false, cut: {} });
  await partition(cell);
  await cell.ready();
}

export function hostsOf({ hosts }: Cell, dataCentre: string): Cell['hosts'] {
  return hosts.filter((host) => host.dataCentre === dataCentre);
}

export interface Run {
  readonly worker: string;
  readonly task: string;
  readonly team: string;
  readonly entry: string;
  readonly start: number;
  readonly end?: number;
  readonly outcome: string;
}

/** Reads all runs that the workers have recorded. */
export async function readRuns({ workers }: Cell): Promise<readonly Run[]> {
  const records = await Promise.all(
    workers.workers.map(async ({ id, url }) => {
      const record = (await callControlRoute(url, 'GET', '/control/record')) as {
        runs: readonly Run[];
      };
      return record.runs.map((run) => ({ ...run, worker: id }));
    }),
  );
  return records.flat();
}

/** Returns the largest number of the team's tasks that ran at the same time after `since`. */
export function peakRunning(runs: readonly Run[], team: string, since = 0): number {
  const changes = runs
    .filter((run) => run.team === team && (run.end ?? Infinity) >= since)
    .flatMap(({ start, end }) => [
      { at: Math.max(start, since), by: 1 },
      { at: end ?? Infinity, by: -1 },
    ])
    // At equal times ends come first: a task that starts in the millisecond in which another ends does not overlap it.
    .sort((left, right) => left.at - right.at || left.by - right.by);
  let running = 0;
  let peak = 0;
  for (const { by } of changes) {
    running += by;
    peak = Math.max(peak, running);
  }
  return peak;
}

export function countRunning(runs: readonly Run[], team: string): number {
  return runs.filter((run) => run.team === team && run.end === undefined).length;
}

export interface Load {
  /** Results of the requests so far: `done`, a status with its reason, or an error code. */
  readonly seen: { readonly host: string; readonly result: string; readonly id: string }[];
  /** Stops the load and waits for the pending requests. */
  stop(): Promise<void>;
}

/**
 * Keeps `callers` requests in flight. Each caller sends to the hosts in turn over keep-alive connections and, as a load
 * balancer does, retries a request whose connection was refused at the next host.
 */
export function startLoad(
  hosts: () => readonly (Endpoint & { readonly id: string })[],
  callers: number,
  submission: Submission,
): Load {
  const agent = new Agent();
  const seen: Load['seen'] = [];
  let stopped = false;

  async function call(caller: number): Promise<void> {
    for (let turn = caller; !stopped; turn += 1) {
      const all = hosts();
      const host = all[turn % all.length];
      if (host === undefined) return;
      const { result, id } = await submit(host, submission, agent).then(
        ({ status, reason, id: request }) => {
          return {
            result: status === 200 ? 'done' : `${String(status)} ${reason ?? ''}`,
            id: request,
          };
        },
        (error: unknown) => {
          return { result: (error as { code?: string }).code ?? String(error), id: '' };
        },
      );
      if (result !== 'ECONNREFUSED') seen.push({ host: host.id, result, id });
      else await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  const calls = Array.from({ length: callers }, (_, caller) => call(caller));
  async function stop(): Promise<void> {
    stopped = true;
    activeLoads.delete(load);
    await Promise.all(calls);
    await agent.close();
  }

  let stopping: Promise<void> | undefined;
  const load: Load = { seen, stop: () => (stopping ??= stop()) };
  activeLoads.add(load);
  return load;
}

/** Counts the results other than `done` by result and host. */
export function countFailures({ seen }: Load): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { host, result } of seen) {
    if (result === 'done') continue;
    const name = `${result} at ${host}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** Lists the events that the hosts recorded for the first three requests that did not end as `done`. */
export async function explainFailures({ operator }: Cell, { seen }: Load): Promise<string> {
  const failed = seen.filter(({ result, id }) => result !== 'done' && id !== '').slice(0, 3);
  const events = await Promise.all(failed.map(({ id }) => operator.timeline(id)));
  return events
    .flat()
    .map((event) => {
      const { at, host, kind, request: id = '', worker = '', detail = '' } = event;
      return [at.ms, id, host, kind, worker, detail].join(' ');
    })
    .join('\n');
}

/** Writes a measured figure to the output of the test run. */
export function reportFigure(text: string): void {
  process.stdout.write(`      ${text} (seed ${String(SEED)})\n`);
}
