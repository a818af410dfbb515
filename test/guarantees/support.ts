/**
 * Cells of real processes under seeded load, and the judgement of what the callers were told against
 * what the workers recorded.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { expect } from 'chai';
import { fetch } from 'undici';
import { v7 as mintId } from 'uuid';
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
/** Ids minted up to this long after a takeover from a dead home are answered unknown. */
const MAX_CLOCK_SKEW_MS = 50;
const CONDITION_TIMEOUT_MS = 20_000;
const POLL_MS = 30;

const SMALL = { processors: 1, memoryMb: 256 };
const INTERACTIVE = {
  owner: TEAM,
  class: 'interactive',
  size: SMALL,
  deadlineMs: 1000,
  maxRunMs: 1000,
};
const CATALOGUE = stringify({
  teams: { [TEAM]: { share: 1, limit: 400 } },
  entries: {
    lookup: { ...INTERACTIVE, idempotent: true },
    booking: { ...INTERACTIVE, idempotent: false },
    batch: { owner: TEAM, class: 'batch', idempotent: true, size: SMALL },
    plan: { owner: TEAM, class: 'batch', idempotent: false, size: SMALL },
    gang: { owner: TEAM, class: 'gang', idempotent: true, tasks: 3, size: SMALL },
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
      return { name, hosts: count, workers: ['a', 'b'].map((id) => describeWorker(name + id)) };
    }),
    catalogue: CATALOGUE,
    settings: {
      timers: TIMERS,
      faultInjection: true,
      limits: { maxClockSkewMs: MAX_CLOCK_SKEW_MS },
    },
  });
}

function describeWorker(id: string): object {
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

/** Repeats a check until it holds; a check that throws does not hold. */
export async function eventually(
  what: string | (() => string),
  check: () => Promise<boolean> | boolean,
) {
  const giveUpAt = Date.now() + CONDITION_TIMEOUT_MS;
  while (Date.now() < giveUpAt) {
    if (await Promise.resolve(check()).catch(() => false)) return;
    await delay(POLL_MS);
  }
  const missing = typeof what === 'string' ? what : what();
  throw new Error(`It did not happen in time: ${missing}.`);
}

export type Told = 'done' | 'accepted' | 'refused' | 'unknown' | 'broken';

/** What one attempt of a caller was told. */
export interface Attempt {
  readonly id: string;
  readonly entry: string;
  readonly host: string;
  readonly told: Told;
  readonly at: number;
  readonly status: number;
  readonly body: string;
  /** The only answer that is complete and the caller's own. */
  readonly expected: string;
}

export interface Submission {
  readonly entry: string;
  readonly id?: string;
  readonly runMs?: number;
  /** Bytes that make the answer long enough to be cut in the middle. */
  readonly padding?: number;
  readonly wait?: boolean;
  readonly timeoutMs?: number;
}

const TOLD_BY_STATUS = new Map<number, Told>([
  [200, 'done'],
  [202, 'accepted'],
  [504, 'unknown'],
]);
const DEFAULT_PADDING = 64;
const FIRST_FAILURE = 500;
/** Characters of an answer that a report of a fault shows. */
const SHOWN_CHARS = 300;
const SHOWN_FAULTS = 3;
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

/** Sends one attempt; a connection that breaks or stays silent tells the caller nothing. */
export async function submit(host: EntryProcess, submission: Submission): Promise<Attempt> {
  const { entry, id = mintId(), runMs = 20, padding = DEFAULT_PADDING, wait = true } = submission;
  const echo = { id, padding: 'x'.repeat(padding) };
  const input = { runMs, echo };
  const described = { id, entry, host: host.id, expected: JSON.stringify(echo) };
  try {
    const sent = call(host, '/v1/requests', 'POST', { entry, id, wait, input });
    const answer = await withTimeout(sent, submission.timeoutMs ?? CALL_TIMEOUT_MS);
    const { status, body, taskStatus } = answer;
    const told = TOLD_BY_STATUS.get(status) ?? 'refused';
    // A worker that fails everything answers with the input of the task.
    const expected = taskStatus >= FIRST_FAILURE ? JSON.stringify(input) : described.expected;
    return { ...described, expected, told, at: Date.now(), status, body };
  } catch {
    return { ...described, told: 'broken', at: Date.now(), status: 0, body: '' };
  }
}

/** Gives up waiting, but leaves the connection open, so that a paused host still reads the call. */
async function withTimeout<T>(promise: Promise<T>, timeoutMs: number): Promise<T> {
  const timer = new AbortController();
  promise.catch(() => undefined);
  const late = delay(timeoutMs, undefined, { signal: timer.signal }).then(() => {
    throw new Error('timeout');
  });
  return Promise.race([promise, late]).finally(() => {
    late.catch(() => undefined);
    timer.abort();
  });
}

export interface Load {
  readonly seed: number;
  readonly count: number;
  /** Requests in flight at the same time. */
  readonly concurrency?: number;
  readonly padding?: number;
  readonly timeoutMs?: number;
  /** Called once, after a quarter of the requests have ended. */
  readonly inject: () => Promise<unknown>;
  /** Called at the end of all requests; some of their ids are repeated after it. */
  readonly heal?: () => Promise<unknown>;
}

const MAX_ATTEMPTS = 3;
/** Some of the repeated ids were decided before the fault, by hosts that may have died since. */
const REPEAT_EVERY = 3;

/** Sends lookups and bookings, repeats them at other hosts, and injects a fault on the way. */
export async function runLoad(cell: Cell, load: Load): Promise<readonly Attempt[]> {
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
    const told = await submit(host, request);
    attempts.push(told);
    return told;
  }

  async function runOne(): Promise<void> {
    const entry = random() < 0.5 ? 'booking' : 'lookup';
    const request = { ...load, entry, id: mintId(), runMs: 5 + Math.floor(random() * 60) };
    requests.push(request);
    // Some callers repeat a request although they have its answer.
    const impatient = random() < 0.2;
    for (let tried = 0; tried < MAX_ATTEMPTS; tried += 1) {
      const { told } = await attempt(request);
      if (told === 'done' && (!impatient || tried > 0)) break;
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

export interface Evidence {
  /** Runs by request id, in order of their start. */
  runs(id: string): readonly Run[];
  readonly violations: readonly Violation[];
}

export async function readEvidence(cell: Cell): Promise<Evidence> {
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
async function settle(cell: Cell, attempts: readonly Attempt[]): Promise<Evidence> {
  let evidence = await readEvidence(cell);
  await eventually('every run has ended', async () => {
    evidence = await readEvidence(cell);
    return attempts.every(({ id }) => evidence.runs(id).every((run) => run.end !== undefined));
  });
  return evidence;
}

export interface Tally {
  readonly done: number;
  readonly requests: number;
}

/** Checks guarantees 1, 2, 5, 6 and 7 for the attempts, and returns how many requests were done. */
export async function judge(cell: Cell, attempts: readonly Attempt[]): Promise<Tally> {
  const evidence = await settle(cell, attempts);
  expect(evidence.violations, 'guarantee 1: workers over capacity').to.deep.equal([]);
  const byId = groupBy(attempts, ({ id }) => id);
  const faults = [...byId].flatMap(([id, own]) => findFaults(own, evidence.runs(id)));
  expect(faults.slice(0, SHOWN_FAULTS), 'guarantees 2, 5, 6 and 7').to.deep.equal([]);
  const done = [...byId.values()].filter((own) => own.some(({ told }) => told === 'done'));
  return { done: done.length, requests: byId.size };
}

/** The faults of one request id, as sentences. */
function findFaults(attempts: readonly Attempt[], runs: readonly Run[]): readonly string[] {
  const [first] = attempts;
  if (first === undefined) return [];
  const { entry, id } = first;
  const faults: string[] = [];
  const report = (fault: string) => {
    const told = attempts.map(
      (attempt) => `${attempt.host} ${attempt.told} ${attempt.body.slice(0, SHOWN_CHARS)}`,
    );
    faults.push(`${entry} ${id}: ${fault}; runs ${JSON.stringify(runs)}; told ${told.join(' | ')}`);
  };
  if (hasOverlap(runs)) report('2: ran twice at the same time');
  if ((entry === 'booking' || entry === 'plan') && runs.length > 1) report('7: ran more than once');
  for (const { told, body, at, status, expected } of attempts) {
    if (told === 'done' && body !== expected) report('5: not the complete own answer');
    if (told === 'done' && runs.length === 0) report('5: answered without a run');
    // Later attempts may run the request; earlier ones must not have, unless the refusal says that
    // it covers one attempt only.
    const coversAll = told === 'refused' && !body.includes('"scope":"attempt"');
    if (coversAll && runs.some((run) => run.start <= at)) {
      report(`6: refused with ${String(status)} after a run`);
    }
  }
  if (attempts.every(({ told }) => told === 'refused') && runs.length > 0) {
    report('6: every attempt was refused');
  }
  return faults;
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

/** A host other than the given one, to ask and to submit while that one is away. */
export function otherHost(cell: Cell, id: string): EntryProcess {
  const host = cell.hosts.find((candidate) => candidate.id !== id);
  if (host === undefined) throw new Error('The cell has no other host.');
  return host;
}

/** Waits until live hosts other than the given one hold every worker. */
export async function waitForTakeover(cell: Cell, from: string): Promise<void> {
  await eventually(`the workers of ${from} are taken over`, async () => {
    const rows = await cell.operator.workers(otherHost(cell, from));
    const held = rows.filter(({ holder }) => holder !== undefined && holder !== from);
    return held.length === cell.workers.workers.length;
  });
}

/** Changes settings of the workers, all of them unless ids are given. */
export async function setWorkers(cell: Cell, settings: object, ids?: readonly string[]) {
  const chosen = cell.workers.workers.filter(({ id }) => ids?.includes(id) ?? true);
  await Promise.all(
    chosen.map(({ url }) => callControlRoute(url, 'PATCH', '/control/settings', settings)),
  );
}

export function setStore(cell: Cell, faults: object): Promise<unknown> {
  return callControlRoute(cell.keyValue.url, 'PATCH', '/control/faults', faults);
}
