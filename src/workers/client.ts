/**
 * The HTTP client of one worker. It decides what a failure says about a task: `refused` only if
 * nothing can have run, `unknown` for everything that happened after the first byte was sent and
 * did not end in a complete answer that names the task.
 */
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { Pool } from 'undici';
import { z } from 'zod';
import { refuse, unknownOutcome, WORK_CLASSES, type TaskId, type Worker } from '../model/index.js';
import { describeError, wasNeverSent } from '../platform/index.js';
import type {
  TaskNeverSeen,
  TaskOutcome,
  TaskStart,
  WorkerClient,
  WorkerError,
  WorkerReport,
  WorkerSnapshot,
} from './task.js';

export interface WorkerClientOptions {
  readonly worker: Worker;
  /** Most connections to the worker, commands included. */
  readonly connections?: number;
  /** Longest time to connect, or for one command, in milliseconds. */
  readonly timeoutMs?: number;
}

// Workers share a network with their entry hosts; a slower command counts as a failure.
const DEFAULT_TIMEOUT_MS = 2000;
/** Connections kept apart, so that renewals and stops never queue behind running tasks. */
const COMMAND_CONNECTIONS = 2;
/** Entry hosts of one data centre that may be connected to a worker at the same time. */
const SHARING_HOSTS = 3;
/** Longest delay of a timer in Node.js. */
const MAX_TIMER_MS = 2 ** 31 - 1;
const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;
const NO_CONTENT_STATUS = 204;
const FIRST_FAILURE_STATUS = 500;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';
const TASK_HEADER = 'sapphirewing-task';
const REFUSED_HEADER = 'sapphirewing-refused';
const BOOT_HEADER = 'sapphirewing-boot';
/** Refusal of an id that the worker has seen: this start did not run it, but an earlier one did. */
const ID_SEEN = 'id-seen';

const resources = z.object({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});
const snapshot = z.object({
  bootId: z.string(),
  epoch: z.number(),
  running: z.array(
    z.object({
      id: z.string(),
      team: z.string(),
      entry: z.string(),
      class: z.enum(WORK_CLASSES),
      size: resources,
      chargedTo: z.string(),
      epoch: z.number(),
    }),
  ),
});
const report = z.object({
  bootId: z.string(),
  usage: z.record(z.string(), resources),
  leaving: z.boolean(),
});

interface Exchange {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  /** Longest wait for the head of the answer; 0 for no bound. */
  readonly headersTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

interface Answer {
  readonly status: number;
  readonly header: (name: string) => string | undefined;
  readonly body: Uint8Array;
}

export function createWorkerClient(options: WorkerClientOptions): WorkerClient {
  const { worker, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const connections = options.connections ?? defaultConnections(worker);
  const tasks = createPool(worker, connections - COMMAND_CONNECTIONS, timeoutMs);
  const commands = createPool(worker, COMMAND_CONNECTIONS, timeoutMs);
  let closed = false;

  async function start(task: TaskStart): Promise<TaskOutcome> {
    if (closed) return refuse('worker-refused', `The client of worker ${worker.id} is closed.`);
    try {
      const answer = await send(tasks, describeStart(task, timeoutMs));
      return interpretStart(answer, task.id, worker.id);
    } catch (error) {
      const detail = describeError(error);
      return wasNeverSent(error)
        ? refuse('worker-refused', `Worker ${worker.id} cannot be reached (${detail}).`)
        : unknownOutcome(`Worker ${worker.id} gave no complete answer (${detail}).`);
    }
  }

  async function join(task: TaskId): Promise<TaskOutcome | TaskNeverSeen> {
    try {
      const path = `${pathOf(task)}/answer`;
      const answer = await send(tasks, { method: 'GET', path, headersTimeoutMs: 0 });
      return interpretJoin(answer, task, worker.id);
    } catch (error) {
      return unknownOutcome(
        `Worker ${worker.id} gave no complete answer (${describeError(error)}).`,
      );
    }
  }

  function command<T>(
    method: Exchange['method'],
    path: string,
    body: unknown,
    decode: (body: unknown) => T,
  ): ResultAsync<T, WorkerError> {
    const exchange: Exchange = {
      method,
      path,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    };
    return ResultAsync.fromPromise(send(commands, exchange), failCommand).andThen((answer) =>
      decodeCommand(answer, decode),
    );
  }

  const tell = (path: string, body: unknown) => command('POST', path, body, () => undefined);

  return {
    start,
    join,
    raiseEpoch: (epoch, holder): ResultAsync<WorkerSnapshot, WorkerError> =>
      command('PUT', '/v1/epoch', { epoch, holder }, (body) => snapshot.parse(body)),
    renew: (epoch, leaseMs) => tell('/v1/renewals', { epoch, leaseMs }),
    stop: (task, epoch) => tell(`${pathOf(task)}/stop`, { epoch }),
    checkpoint: (task, epoch) => tell(`${pathOf(task)}/checkpoint`, { epoch }),
    throttle: (task, epoch, fraction) => tell(`${pathOf(task)}/throttle`, { epoch, fraction }),
    report: () => command('GET', '/v1/report', undefined, decodeReport),
    drain: async () => {
      closed = true;
      await Promise.all([tasks.close(), commands.close()]);
    },
    close: async () => {
      closed = true;
      await Promise.all([tasks.destroy(), commands.destroy()]);
    },
  };
}

/** Two connections per slot, one for the start and one for a join, within this host's part. */
function defaultConnections(worker: Worker): number {
  const wanted = 2 * worker.slots + COMMAND_CONNECTIONS;
  return Math.min(wanted, Math.floor(worker.connections / SHARING_HOSTS));
}

function createPool(worker: Worker, connections: number, timeoutMs: number): Pool {
  return new Pool(new URL(worker.url).origin, {
    connections: Math.max(1, connections),
    pipelining: 1,
    connect: { timeout: timeoutMs },
    // An answer may be long and slow; its end is recognised by its length.
    bodyTimeout: 0,
  });
}

async function send(pool: Pool, exchange: Exchange): Promise<Answer> {
  const { method, path, headers = {}, body = null, headersTimeoutMs, signal } = exchange;
  const answer = await pool.request({
    method,
    path,
    headers,
    body,
    ...(headersTimeoutMs === undefined ? {} : { headersTimeout: headersTimeoutMs }),
    ...(signal === undefined ? {} : { signal }),
  });
  const header = (name: string) => {
    const value = answer.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  return { status: answer.statusCode, header, body: await answer.body.bytes() };
}

function describeStart(task: TaskStart, timeoutMs: number): Exchange {
  const bounded = task.class !== 'service';
  return {
    method: 'POST',
    path: pathOf(task.id),
    headers: {
      'content-type': task.contentType,
      'sapphirewing-epoch': String(task.epoch),
      'sapphirewing-team': encodeURIComponent(task.team),
      'sapphirewing-entry': encodeURIComponent(task.entry),
      'sapphirewing-class': task.class,
      'sapphirewing-size': JSON.stringify(task.size),
      'sapphirewing-charged-to': encodeURIComponent(task.chargedTo),
      'sapphirewing-lease-ms': String(task.leaseMs),
      'sapphirewing-max-run-ms': String(task.maxRunMs),
    },
    body: task.input,
    headersTimeoutMs: bounded ? Math.min(task.maxRunMs + timeoutMs, MAX_TIMER_MS) : 0,
  };
}

function interpretStart(answer: Answer, task: TaskId, worker: string): TaskOutcome {
  const reason = answer.header(REFUSED_HEADER);
  const refused = answer.status === CONFLICT_STATUS && reason !== undefined;
  if (!refused || !names(answer, task)) return interpretAnswer(answer, task, worker);
  if (reason === ID_SEEN) {
    return unknownOutcome(`Worker ${worker} has seen the task before; join it for its answer.`);
  }
  return refuse('worker-refused', `Worker ${worker} refused the task (${reason}).`);
}

function interpretJoin(answer: Answer, task: TaskId, worker: string): TaskOutcome | TaskNeverSeen {
  const bootId = answer.header(BOOT_HEADER);
  if (answer.status === NOT_FOUND_STATUS && bootId !== undefined && names(answer, task)) {
    return { kind: 'never-seen', bootId };
  }
  return interpretAnswer(answer, task, worker);
}

function interpretAnswer(answer: Answer, task: TaskId, worker: string): TaskOutcome {
  const { status, body } = answer;
  if (!names(answer, task)) {
    return unknownOutcome(`Worker ${worker} answered ${String(status)} without naming the task.`);
  }
  if (answer.header(REFUSED_HEADER) !== undefined) {
    return unknownOutcome(`Worker ${worker} refused a call that cannot be refused.`);
  }
  if (body.byteLength !== declaredLength(answer)) {
    return unknownOutcome(`Worker ${worker} sent an answer whose length is not as declared.`);
  }
  const contentType = answer.header('content-type') ?? DEFAULT_CONTENT_TYPE;
  const kind = status >= FIRST_FAILURE_STATUS ? 'failed' : 'done';
  return { kind, status, contentType, body, worker };
}

function names(answer: Answer, task: TaskId): boolean {
  return answer.header(TASK_HEADER) === encodeURIComponent(task);
}

function declaredLength(answer: Answer): number | undefined {
  const length = answer.header('content-length');
  if (length !== undefined) return Number(length);
  return answer.status === NO_CONTENT_STATUS ? 0 : undefined;
}

function pathOf(task: TaskId): string {
  return `/v1/tasks/${encodeURIComponent(task)}`;
}

function decodeReport(body: unknown): WorkerReport {
  const { bootId, usage, leaving } = report.parse(body);
  return { bootId, usage: new Map(Object.entries(usage)), leaving };
}

function decodeCommand<T>(
  answer: Answer,
  decode: (body: unknown) => T,
): ResultAsync<T, WorkerError> {
  const text = Buffer.from(answer.body).toString();
  const status = String(answer.status);
  if (answer.status === CONFLICT_STATUS) {
    return errAsync({ kind: 'stale-epoch', detail: `the worker answered ${status}: ${text}` });
  }
  if (answer.status !== 200) return errAsync(failCommand(`status ${status}: ${text}`));
  try {
    return okAsync(decode(JSON.parse(text)));
  } catch (error) {
    return errAsync(failCommand(error));
  }
}

function failCommand(error: unknown): WorkerError {
  return { kind: 'unreachable', detail: `the command failed: ${describeError(error)}` };
}
