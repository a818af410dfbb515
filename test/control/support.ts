/**
 * A small cell with short timers for the tests of guarantees under failure, and what they share:
 * callers, store faults, partitions between data centres and the records of the workers.
 */
import { Agent, request } from 'undici';
import { stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell, type CellOptions } from '../../stand-ins/cell.js';
import { callControlRoute } from '../../stand-ins/control.js';

export { OPERATOR_KEY, type Cell };

/** Printed with failures; every random choice of these tests comes from it. */
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
const POLL_MS = 20;
const WAIT_MS = 15_000;

interface CatalogueChanges {
  readonly limit?: number;
  readonly withoutTeamKey?: boolean;
  /** Makes a text that differs from all others. */
  readonly mark?: string;
}

export function describeCatalogue(changes: CatalogueChanges = {}): string {
  const { limit = 1000, withoutTeamKey = false, mark } = changes;
  const entry = { owner: 'lawns', idempotent: true, size: { processors: 1, memoryMb: 64 } };
  return stringify({
    teams: { lawns: { share: 1, limit }, seams: { share: 1, limit: 1000 } },
    entries: {
      lookup: { ...entry, class: 'interactive' },
      booking: { ...entry, class: 'interactive', idempotent: false },
      'open-lookup': { ...entry, class: 'interactive', open: true },
      batch: { ...entry, class: 'batch' },
      plan: { ...entry, class: 'gang', tasks: 3 },
      ...(mark !== undefined && { [mark]: { ...entry, class: 'batch' } }),
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

export interface CellShape {
  readonly hosts?: number;
  readonly workers?: number;
  readonly slots?: number;
  readonly limit?: number;
}

/** Two data centres of equal size. */
export async function startTestCell(shape: CellShape = {}): Promise<Cell> {
  const { hosts = 2, workers = 2, slots = 8, limit } = shape;
  const capacity = { processors: slots, memoryMb: 64 * slots, accelerators: 0 };
  const options: CellOptions = {
    dataCentres: DATA_CENTRES.map((name) => ({
      name,
      hosts,
      workers: Array.from({ length: workers }, (_, index) => ({
        id: `${name}-worker-${String(index + 1)}`,
        capacity,
        slots,
      })),
    })),
    catalogue: describeCatalogue(limit === undefined ? {} : { limit }),
    settings: { timers: TIMERS, faultInjection: true },
  };
  return startCell(options);
}

/** Loads that have not been stopped; one that outlives a failed test would keep the run from ending. */
const running = new Set<Load>();

/** Starts a cell before the tests of the calling suite and stops it after them. */
export function useCell(shape?: CellShape): () => Cell {
  let cell: Cell | undefined;
  before(async () => {
    cell = await startTestCell(shape);
  });
  afterEach(async () => {
    await Promise.all([...running].map((load) => load.stop()));
  });
  after(async () => {
    await cell?.stop();
  });
  return () => {
    if (cell === undefined) throw new Error('The cell has not started.');
    return cell;
  };
}

export interface Addressed {
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

/** Sends one request with its own connection, or over those of the agent. */
export async function submit(
  host: Addressed,
  { entry, input = {}, key, id, wait }: Submission,
  agent?: Agent,
): Promise<Answer> {
  const answer = await request(`${host.url}/v1/requests`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key !== undefined && { authorization: `Bearer ${key}` }),
    },
    body: JSON.stringify({ entry, input, ...(id && { id }), ...(wait !== undefined && { wait }) }),
    ...(agent ? { dispatcher: agent } : { reset: true }),
  });
  return describeAnswer(answer.statusCode, answer.headers, await answer.body.text());
}

/** Waits for the end of a job. */
export async function readStatus(host: Addressed, id: string, waitMs: number): Promise<Answer> {
  const answer = await request(`${host.url}/v1/requests/${id}?waitMs=${String(waitMs)}`, {
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    reset: true,
  });
  return describeAnswer(answer.statusCode, answer.headers, await answer.body.text());
}

function describeAnswer(
  status: number,
  headers: Readonly<Record<string, string | string[] | undefined>>,
  text: string,
): Answer {
  const reason = /"reason":"(?<reason>[^"]+)"/.exec(text)?.groups?.reason;
  const named = /"id":"(?<id>[^"]+)"/.exec(text)?.groups?.id ?? '';
  return { status, reason, text, id: String(headers['sapphirewing-request'] ?? named) };
}

/** Repeats the check until it holds; the error says what was last seen. */
export async function until(
  what: string,
  check: () => Promise<unknown>,
  timeoutMs = WAIT_MS,
): Promise<number> {
  const startedAt = Date.now();
  let seen: unknown;
  while (Date.now() - startedAt < timeoutMs) {
    seen = await check().catch((error: unknown) => String(error));
    if (seen === true) return Date.now() - startedAt;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`${what}: not within ${String(timeoutMs)} ms; last seen ${JSON.stringify(seen)}`);
}

export async function setStoreFaults({ keyValue }: Cell, faults: object): Promise<void> {
  await callControlRoute(keyValue.url, 'PATCH', '/control/faults', faults);
}

/** Cuts the links between the two groups of hosts; without groups all links work again. */
export async function partition(
  { hosts, operator }: Cell,
  isFirst?: (host: Cell['hosts'][number]) => boolean,
): Promise<void> {
  await Promise.all(
    hosts.map((host) => {
      const cut = hosts.filter((other) => isFirst && isFirst(other) !== isFirst(host));
      const faults = cut.map(({ id }) => ({ peer: id, direction: 'both', effect: 'drop' }));
      return operator.setFaults(host, faults);
    }),
  );
}

/** Ends all faults and waits until every host has current keys and all workers are held. */
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

/** Every run that the workers have recorded. */
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

/** Most tasks of the team that ran at the same time after `since`. */
export function peakRunning(runs: readonly Run[], team: string, since = 0): number {
  const changes = runs
    .filter((run) => run.team === team && (run.end ?? Infinity) >= since)
    .flatMap(({ start, end }) => [
      { at: Math.max(start, since), by: 1 },
      { at: end ?? Infinity, by: -1 },
    ])
    // A task that starts in the millisecond in which another ends does not overlap with it.
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
  /** Answers and errors so far. */
  readonly seen: { readonly host: string; readonly result: string; readonly id: string }[];
  /** Ends the load and waits for the last answers. */
  stop(): Promise<void>;
}

/**
 * Keeps `callers` requests under way. Each caller goes round the hosts over kept connections and, as
 * a load balancer does, sends a request whose connection was refused to the next host.
 */
export function startLoad(
  hosts: () => readonly (Addressed & { readonly id: string })[],
  callers: number,
  submission: Submission,
): Load {
  const agent = new Agent();
  const seen: Load['seen'] = [];
  let ended = false;

  async function call(caller: number): Promise<void> {
    for (let turn = caller; !ended; turn += 1) {
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
  async function end(): Promise<void> {
    ended = true;
    running.delete(load);
    await Promise.all(calls);
    await agent.close();
  }

  let ending: Promise<void> | undefined;
  const load: Load = { seen, stop: () => (ending ??= end()) };
  running.add(load);
  return load;
}

/** The results other than `done`, with their numbers. */
export function failuresOf({ seen }: Load): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { host, result } of seen) {
    if (result === 'done') continue;
    const name = `${result} at ${host}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

/** What the hosts recorded of the first requests that did not end as done. */
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
export function report(text: string): void {
  process.stdout.write(`      ${text} (seed ${String(SEED)})\n`);
}
