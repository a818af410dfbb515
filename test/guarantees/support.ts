/**
 * Starts cells of real processes under seeded load, and checks what callers were told against what workers recorded.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { fetch } from 'undici';
import { v7 as uuidv7 } from 'uuid';
import { stringify } from 'yaml';
import { hashSecret } from '../../src/catalogue/index.js';
import { OPERATOR_KEY, startCell, type Cell, type EntryProcess } from '../../stand-ins/cell.js';
import { callControlRoute } from '../../stand-ins/control.js';
import { createRandom } from '../../stand-ins/random.js';
import type { Run, Violation } from '../../stand-ins/worker/audit.js';

export const TIMERS = {
  heartbeatMs: 100,
  suspectAfterMs: 600,
  leaseMs: 1500,
  keyStalenessMs: 5000,
  drainGraceMs: 100,
};
const TEAM = 'lawns';
const KEY = 'key-of-the-lawns-team';
/** Ids that were created up to this long after a takeover from a dead home are answered with `unknown`. */
const MAX_CLOCK_SKEW_MS = 50;
const CONDITION_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 30;

const SMALL_SIZE = { processors: 1, memoryMb: 256 };
const INTERACTIVE_ENTRY = {
  owner: TEAM,
  class: 'interactive',
  size: SMALL_SIZE,
  deadlineMs: 1000,
  maxRunMs: 1000,
};
const CATALOGUE = stringify({
  teams: { [TEAM]: { share: 1, limit: 400 } },
  entries: {
    lookup: { ...INTERACTIVE_ENTRY, idempotent: true },
    booking: { ...INTERACTIVE_ENTRY, idempotent: false },
    batch: { owner: TEAM, class: 'batch', idempotent: true, size: SMALL_SIZE },
    plan: { owner: TEAM, class: 'batch', idempotent: false, size: SMALL_SIZE },
    gang: { owner: TEAM, class: 'gang', idempotent: true, tasks: 3, size: SMALL_SIZE },
    huge: { owner: TEAM, class: 'batch', idempotent: true, size: { processors: 64 } },
  },
  keys: {
    submitter: { team: TEAM, role: 'submitter', hash: hashSecret(KEY) },
    operator: { role: 'operator', hash: hashSecret(OPERATOR_KEY) },
  },
});

/** Starts two data centres with two workers and the given number of hosts each. */
export function startTestCell(hosts: readonly [number, number]): Promise<Cell> {
  return startCell({
    dataCentres: hosts.map((count, index) => {
      const name = `dc${String(index + 1)}`;
      return { name, hosts: count, workers: ['a', 'b'].map((id) => createWorkerSpec(name + id)) };
    }),
    catalogue: CATALOGUE,
    settings: {
      timers: TIMERS,
      faultInjection: true,
      limits: { maxClockSkewMs: MAX_CLOCK_SKEW_MS },
    },
  });
}

function createWorkerSpec(id: string): object {
  const capacity = { processors: 4, memoryMb: 4096, accelerators: 0 };
  return { id, rack: id, capacity, slots: 6, connections: 64 };
}

function groupBy<T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? [];
    groups.set(keyOf(item), [...group, item]);
  }
  return groups;
}

/** Polls until a check returns true; a check that throws counts as false. */
export async function eventually(
  condition: string | (() => string),
  check: () => Promise<boolean> | boolean,
) {
  const giveUpAt = Date.now() + CONDITION_TIMEOUT_MS;
  while (Date.now() < giveUpAt) {
    if (await Promise.resolve(check()).catch(() => false)) return;
    await delay(POLL_INTERVAL_MS);
  }
  const description = typeof condition === 'string' ? condition : condition();
  throw new Error(`Timed out waiting for: ${description}.`);
}

export type AttemptResult = 'done' | 'accepted' | 'refused' | 'unknown' | 'broken';

/** One attempt of a caller and the answer that it got. */
export interface Attempt {
  readonly id: string;
  readonly entry: string;
  readonly host: string;
  readonly result: AttemptResult;
  readonly at: number;
  readonly status: number;
  readonly body: string;
  /** The only body that is a complete answer to this request. */
  readonly expected: string;
}

export interface Submission {
  readonly entry: string;
  readonly id?: string;
  readonly runMs?: number;
  /** Number of bytes that are added to the answer, so that it can be truncated. */
  readonly padding?: number;
  readonly wait?: boolean;
  readonly timeoutMs?: number;
}

const RESULT_BY_STATUS = new Map<number, AttemptResult>([
  [200, 'done'],
  [202, 'accepted'],
  [504, 'unknown'],
]);
const DEFAULT_PADDING = 64;
const FIRST_ERROR_STATUS = 500;
/** Limits the part of an answer's body that a violation message contains. */
const MAX_REPORTED_BODY_CHARS = 300;
const MAX_REPORTED_VIOLATIONS = 3;
const CALL_TIMEOUT_MS = 6000;

export async function call(host: EntryProcess, path: string, method = 'GET', body?: object) {
  const answer = await fetch(host.url + path, {
    method,
    headers: { authorization: `Bearer ${KEY}`, 'content-type': 'application/json' },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
    ...(body !== undefined && { body: JSON.stringify(body) }),
  });
  const taskStatus = Number(answer.headers.get('sapphirewing-task-status'));
  return { status: answer.status, body: await answer.text(), taskStatus };
}

/** Sends one attempt; an error or a timeout of the connection gives the result `broken`. */
export async function submit(host: EntryProcess, submission: Submission): Promise<Attempt> {
  const { entry, id = uuidv7(), runMs = 20, padding = DEFAULT_PADDING, wait = true } = submission;
  const echo = { id, padding: 'x'.repeat(padding) };
  const input = { runMs, echo };
  const common = { id, entry, host: host.id, expected: JSON.stringify(echo) };
  try {
    const response = call(host, '/v1/requests', 'POST', { entry, id, wait, input });
    const answer = await withTimeout(response, submission.timeoutMs ?? CALL_TIMEOUT_MS);
    const { status, body, taskStatus } = answer;
    const result = RESULT_BY_STATUS.get(status) ?? 'refused';
    // A worker with the setting `failAll` answers with the input of the task.
    const expected = taskStatus >= FIRST_ERROR_STATUS ? JSON.stringify(input) : common.expected;
    return { ...common, expected, result, at: Date.now(), status, body };
  } catch {
    return { ...common, result: 'broken', at: Date.now(), status: 0, body: '' };
  }
}

/** Stops waiting after a timeout but keeps the connection open, so that a paused host still reads the request. */
async function withTimeout<T>(promise: Promise<T>, timeoutMs: number): Promise<T> {
  const timer = new AbortController();
  promise.catch(() => undefined);
  const timeout = delay(timeoutMs, undefined, { signal: timer.signal }).then(() => {
    throw new Error('timeout');
  });
  return Promise.race([promise, timeout]).finally(() => {
    timeout.catch(() => undefined);
    timer.abort();
  });
}

export interface LoadOptions {
  readonly seed: number;
  readonly count: number;
  /** Number of requests in flight at the same time. */
  readonly concurrency?: number;
  readonly padding?: number;
  readonly timeoutMs?: number;
  /** Called once, when a quarter of the requests have ended. */
  readonly inject: () => Promise<unknown>;
  /** Called when all requests have ended; some of their ids are repeated afterwards. */
  readonly heal?: () => Promise<unknown>;
}

const MAX_ATTEMPTS = 3;
/** Some of the repeated ids were decided before the fault, by hosts that may have failed since. */
const REPEAT_EVERY = 3;

/** Sends lookups and bookings, retries them at other hosts, and injects a fault while they run. */
export async function runLoad(cell: Cell, load: LoadOptions): Promise<readonly Attempt[]> {
  process.stdout.write(`      seed ${String(load.seed)}\n`);
  const random = createRandom(load.seed);
  const attempts: Attempt[] = [];
  const requests: Submission[] = [];
  let ended = 0;
  let next = 0;
  let injected: Promise<unknown> | undefined;

  async function attempt(request: Submission): Promise<Attempt> {
    const host = cell.hosts[Math.floor(random() * cell.hosts.length)];
    if (host === undefined) throw new Error('The cell has no host.');
    const attempted = await submit(host, request);
    attempts.push(attempted);
    return attempted;
  }

  async function runOne(): Promise<void> {
    const entry = random() < 0.5 ? 'booking' : 'lookup';
    const request = { ...load, entry, id: uuidv7(), runMs: 5 + Math.floor(random() * 60) };
    requests.push(request);
    // Some callers repeat a request although they have received its answer.
    const repeatsAfterAnswer = random() < 0.2;
    for (let attemptCount = 0; attemptCount < MAX_ATTEMPTS; attemptCount += 1) {
      const { result } = await attempt(request);
      if (result === 'done' && (!repeatsAfterAnswer || attemptCount > 0)) break;
    }
    ended += 1;
    if (ended >= load.count / 4) injected ??= load.inject();
  }

  async function runCaller(): Promise<void> {
    while (next < load.count) {
      next += 1;
      await runOne();
    }
  }

  await Promise.all(Array.from({ length: load.concurrency ?? 12 }, runCaller));
  await injected;
  await load.heal?.();
  const repeated = requests.filter((_, index) => index % REPEAT_EVERY === 0);
  await Promise.all(repeated.map(attempt));
  return attempts;
}

interface WorkerRecord {
  readonly id: string;
  readonly runs: readonly Run[];
  readonly violations: readonly Violation[];
}

export interface WorkerRecords {
  /** Returns the runs of a request id in the order of their starts. */
  runs(id: string): readonly Run[];
  readonly violations: readonly Violation[];
}

export async function readWorkerRecords(cell: Cell): Promise<WorkerRecords> {
  const records = await Promise.all(
    cell.workers.workers.map(async ({ url }) => {
      return (await callControlRoute(url, 'GET', '/control/record')) as WorkerRecord;
    }),
  );
  const runs = groupBy(
    records.flatMap((record) => record.runs),
    ({ task }) => task.split('.')[1] ?? '',
  );
  for (const list of runs.values()) list.sort((left, right) => left.start - right.start);
  return {
    runs: (id) => runs.get(id) ?? [],
    violations: records.flatMap((record) => record.violations),
  };
}

/** Waits until every run of the attempts has ended and reads the workers' records. */
async function waitForRunsToEnd(cell: Cell, attempts: readonly Attempt[]): Promise<WorkerRecords> {
  let records = await readWorkerRecords(cell);
  await eventually('every run has ended', async () => {
    records = await readWorkerRecords(cell);
    return attempts.every(({ id }) => records.runs(id).every((run) => run.end !== undefined));
  });
  return records;
}

export interface RequestCounts {
  readonly done: number;
  readonly requests: number;
}

/** Checks guarantees 1, 2, 5, 6 and 7 for the attempts and counts the requests that were done. */
export async function checkGuarantees(
  cell: Cell,
  attempts: readonly Attempt[],
): Promise<RequestCounts> {
  const records = await waitForRunsToEnd(cell, attempts);
  expect(records.violations, 'guarantee 1: workers over capacity').to.deep.equal([]);
  const byId = groupBy(attempts, ({ id }) => id);
  const violations = [...byId].flatMap(([id, own]) => findViolations(own, records.runs(id)));
  expect(violations.slice(0, MAX_REPORTED_VIOLATIONS), 'guarantees 2, 5, 6 and 7').to.deep.equal(
    [],
  );
  const done = [...byId.values()].filter((own) => own.some(({ result }) => result === 'done'));
  return { done: done.length, requests: byId.size };
}

/** Describes each violation of the guarantees by one request id. */
function findViolations(attempts: readonly Attempt[], runs: readonly Run[]): readonly string[] {
  const [first] = attempts;
  if (first === undefined) return [];
  const { entry, id } = first;
  const violations: string[] = [];
  const addViolation = (violation: string) => {
    const results = attempts.map(
      (attempt) =>
        `${attempt.host} ${attempt.result} ${attempt.body.slice(0, MAX_REPORTED_BODY_CHARS)}`,
    );
    violations.push(
      `${entry} ${id}: ${violation}; runs ${JSON.stringify(runs)}; told ${results.join(' | ')}`,
    );
  };
  if (hasOverlap(runs)) addViolation('2: ran twice at the same time');
  if ((entry === 'booking' || entry === 'plan') && runs.length > 1)
    addViolation('7: ran more than once');
  for (const { result, body, at, status, expected } of attempts) {
    if (result === 'done' && body !== expected)
      addViolation('5: not the complete answer to this request');
    if (result === 'done' && runs.length === 0) addViolation('5: answered without a run');
    // A later attempt may run the request. An earlier one must not have run it, unless the refusal covers only this
    // attempt.
    const coversAll = result === 'refused' && !body.includes('"scope":"attempt"');
    if (coversAll && runs.some((run) => run.start <= at)) {
      addViolation(`6: refused with ${String(status)} after a run`);
    }
  }
  if (attempts.every(({ result }) => result === 'refused') && runs.length > 0) {
    addViolation('6: every attempt was refused');
  }
  return violations;
}

/** Whether two runs of the same task of a request overlap in time. */
function hasOverlap(runs: readonly Run[]): boolean {
  const byIndex = groupBy(runs, ({ task }) => task.split('.')[2]);
  return [...byIndex.values()].some((own) =>
    own.some((run, place) => {
      const before = own[place - 1];
      return before !== undefined && (before.end ?? Number.POSITIVE_INFINITY) > run.start;
    }),
  );
}

export function findHost(cell: Cell, id: string): EntryProcess {
  const host = cell.hosts.find((candidate) => candidate.id === id);
  if (host === undefined) throw new Error(`The cell has no host ${id}.`);
  return host;
}

/** Finds a host other than the given one, for requests while that one is down. */
export function otherHost(cell: Cell, id: string): EntryProcess {
  const host = cell.hosts.find((candidate) => candidate.id !== id);
  if (host === undefined) throw new Error('The cell has no other host.');
  return host;
}

/** Waits until hosts other than the given one hold every worker. */
export async function waitForTakeover(cell: Cell, from: string): Promise<void> {
  await eventually(`the workers of ${from} are taken over`, async () => {
    const rows = await cell.operator.workers(otherHost(cell, from));
    const held = rows.filter(({ holder }) => holder !== undefined && holder !== from);
    return held.length === cell.workers.workers.length;
  });
}

/** Changes settings of the workers with the given ids, or of all workers. */
export async function setWorkerSettings(cell: Cell, settings: object, ids?: readonly string[]) {
  const chosen = cell.workers.workers.filter(({ id }) => ids?.includes(id) ?? true);
  await Promise.all(
    chosen.map(({ url }) => callControlRoute(url, 'PATCH', '/control/settings', settings)),
  );
}

export function setStoreFaults(cell: Cell, faults: object): Promise<unknown> {
  return callControlRoute(cell.keyValue.url, 'PATCH', '/control/faults', faults);
}
