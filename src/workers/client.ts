/**
 * HTTP client of one worker. It determines what a failure means for a task: `refused` only if the
 * task cannot have run, and `unknown` if the first byte was sent but no complete response with the
 * id of the task arrived.
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
  /** Maximum number of connections to the worker, including those for commands. */
  readonly connections?: number;
  /** Timeout for connecting and for each command, in milliseconds. */
  readonly timeoutMs?: number;
}

/** Workers share a network with their entry hosts, so a slower command counts as failed. */
const DEFAULT_TIMEOUT_MS = 2000;
/**
 * Connections reserved for commands, so that renewals and stops never queue behind running tasks.
 */
const COMMAND_CONNECTIONS = 2;
/**
 * Maximum number of entry hosts of a data centre that are connected to a worker at the same time.
 */
const MAX_HOSTS_PER_WORKER = 3;
/** Maximum delay of a Node.js timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;
const CONFLICT_STATUS = 409;
const NOT_FOUND_STATUS = 404;
const NO_CONTENT_STATUS = 204;
const MIN_FAILURE_STATUS = 500;
const DEFAULT_CONTENT_TYPE = 'application/octet-stream';
const TASK_HEADER = 'sapphirewing-task';
const REFUSED_HEADER = 'sapphirewing-refused';
const BOOT_HEADER = 'sapphirewing-boot';
/**
 * The worker has already seen the task id: this start did not run the task, but an earlier one did.
 */
const REFUSED_ID_SEEN = 'id-seen';

const resourcesSchema = z.object({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});
const snapshotSchema = z.object({
  bootId: z.string(),
  epoch: z.number(),
  running: z.array(
    z.object({
      id: z.string(),
      team: z.string(),
      entry: z.string(),
      class: z.enum(WORK_CLASSES),
      size: resourcesSchema,
      chargedTo: z.string(),
      epoch: z.number(),
    }),
  ),
});
const reportSchema = z.object({
  bootId: z.string(),
  usage: z.record(z.string(), resourcesSchema),
  leaving: z.boolean(),
});

interface RequestSpec {
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: Uint8Array | string;
  /** Timeout for the response headers; 0 means no timeout. */
  readonly headersTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

interface WorkerResponse {
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
      const response = await send(tasks, buildStartRequest(task, timeoutMs));
      return interpretStart(response, task.id, worker.id);
    } catch (error) {
      const detail = describeError(error);
      return wasNeverSent(error)
        ? refuse('worker-refused', `Worker ${worker.id} cannot be reached (${detail}).`)
        : unknownOutcome(`Worker ${worker.id} gave no complete answer (${detail}).`);
    }
  }

  async function join(task: TaskId): Promise<TaskOutcome | TaskNeverSeen> {
    try {
      const path = `${taskPath(task)}/answer`;
      const response = await send(tasks, { method: 'GET', path, headersTimeoutMs: 0 });
      return interpretJoin(response, task, worker.id);
    } catch (error) {
      return unknownOutcome(
        `Worker ${worker.id} gave no complete answer (${describeError(error)}).`,
      );
    }
  }

  function command<T>(
    method: RequestSpec['method'],
    path: string,
    body: unknown,
    decode: (body: unknown) => T,
  ): ResultAsync<T, WorkerError> {
    const spec: RequestSpec = {
      method,
      path,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    };
    return ResultAsync.fromPromise(send(commands, spec), toWorkerError).andThen((response) =>
      decodeCommandResponse(response, decode),
    );
  }

  const post = (path: string, body: unknown) => command('POST', path, body, () => undefined);

  return {
    start,
    join,
    raiseEpoch: (epoch, holder): ResultAsync<WorkerSnapshot, WorkerError> =>
      command('PUT', '/v1/epoch', { epoch, holder }, (body) => snapshotSchema.parse(body)),
    renew: (epoch, leaseMs) => post('/v1/renewals', { epoch, leaseMs }),
    stop: (task, epoch) => post(`${taskPath(task)}/stop`, { epoch }),
    checkpoint: (task, epoch) => post(`${taskPath(task)}/checkpoint`, { epoch }),
    throttle: (task, epoch, fraction) => post(`${taskPath(task)}/throttle`, { epoch, fraction }),
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

/**
 * Two connections per slot, one for a start and one for a join, up to this host's part of the
 * limit.
 */
function defaultConnections(worker: Worker): number {
  const desired = 2 * worker.slots + COMMAND_CONNECTIONS;
  return Math.min(desired, Math.floor(worker.connections / MAX_HOSTS_PER_WORKER));
}

function createPool(worker: Worker, connections: number, timeoutMs: number): Pool {
  return new Pool(new URL(worker.url).origin, {
    connections: Math.max(1, connections),
    pipelining: 1,
    connect: { timeout: timeoutMs },
    // A response may be long and slow. Its end is detected by its length.
    bodyTimeout: 0,
  });
}

async function send(pool: Pool, spec: RequestSpec): Promise<WorkerResponse> {
  const { method, path, headers = {}, body = null, headersTimeoutMs, signal } = spec;
  const response = await pool.request({
    method,
    path,
    headers,
    body,
    ...(headersTimeoutMs === undefined ? {} : { headersTimeout: headersTimeoutMs }),
    ...(signal === undefined ? {} : { signal }),
  });
  const header = (name: string) => {
    const value = response.headers[name];
    return Array.isArray(value) ? value[0] : value;
  };
  return { status: response.statusCode, header, body: await response.body.bytes() };
}

function buildStartRequest(task: TaskStart, timeoutMs: number): RequestSpec {
  const hasRunLimit = task.class !== 'service';
  return {
    method: 'POST',
    path: taskPath(task.id),
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
    headersTimeoutMs: hasRunLimit ? Math.min(task.maxRunMs + timeoutMs, MAX_TIMER_MS) : 0,
  };
}

function interpretStart(response: WorkerResponse, task: TaskId, worker: string): TaskOutcome {
  const reason = response.header(REFUSED_HEADER);
  const refused = response.status === CONFLICT_STATUS && reason !== undefined;
  if (!refused || !isResponseFor(response, task)) return interpretResponse(response, task, worker);
  if (reason === REFUSED_ID_SEEN) {
    return unknownOutcome(`Worker ${worker} has seen the task before; join it for its answer.`);
  }
  return refuse('worker-refused', `Worker ${worker} refused the task (${reason}).`);
}

function interpretJoin(
  response: WorkerResponse,
  task: TaskId,
  worker: string,
): TaskOutcome | TaskNeverSeen {
  const bootId = response.header(BOOT_HEADER);
  if (
    response.status === NOT_FOUND_STATUS &&
    bootId !== undefined &&
    isResponseFor(response, task)
  ) {
    return { kind: 'never-seen', bootId };
  }
  return interpretResponse(response, task, worker);
}

function interpretResponse(response: WorkerResponse, task: TaskId, worker: string): TaskOutcome {
  const { status, body } = response;
  if (!isResponseFor(response, task)) {
    return unknownOutcome(`Worker ${worker} answered ${String(status)} without naming the task.`);
  }
  if (response.header(REFUSED_HEADER) !== undefined) {
    return unknownOutcome(`Worker ${worker} refused a call that cannot be refused.`);
  }
  if (body.byteLength !== declaredLength(response)) {
    return unknownOutcome(`Worker ${worker} sent an answer whose length is not as declared.`);
  }
  const contentType = response.header('content-type') ?? DEFAULT_CONTENT_TYPE;
  const kind = status >= MIN_FAILURE_STATUS ? 'failed' : 'done';
  return { kind, status, contentType, body, worker };
}

function isResponseFor(response: WorkerResponse, task: TaskId): boolean {
  return response.header(TASK_HEADER) === encodeURIComponent(task);
}

function declaredLength(response: WorkerResponse): number | undefined {
  const length = response.header('content-length');
  if (length !== undefined) return Number(length);
  return response.status === NO_CONTENT_STATUS ? 0 : undefined;
}

function taskPath(task: TaskId): string {
  return `/v1/tasks/${encodeURIComponent(task)}`;
}

function decodeReport(body: unknown): WorkerReport {
  const { bootId, usage, leaving } = reportSchema.parse(body);
  return { bootId, usage: new Map(Object.entries(usage)), leaving };
}

function decodeCommandResponse<T>(
  response: WorkerResponse,
  decode: (body: unknown) => T,
): ResultAsync<T, WorkerError> {
  const text = Buffer.from(response.body).toString();
  const status = String(response.status);
  if (response.status === CONFLICT_STATUS) {
    return errAsync({
      kind: 'stale-epoch',
      detail: `the worker answered ${status}: ${text}`,
    });
  }
  if (response.status !== 200) return errAsync(toWorkerError(`status ${status}: ${text}`));
  try {
    return okAsync(decode(JSON.parse(text)));
  } catch (error) {
    return errAsync(toWorkerError(error));
  }
}

function toWorkerError(error: unknown): WorkerError {
  return { kind: 'unreachable', detail: `the command failed: ${describeError(error)}` };
}
