/**
 * Stand-in for the platform's workers: accepts starts, stops and lease renewals over the published protocol,
 * simulates tasks in real time, and records the starts and ends of their runs, which tests and the soak check.
 */
import { z } from 'zod';
import { dropConnection, HANDLED, listen, parseJson } from '../http.js';
import type { HandlerResult, Call, Listener } from '../http.js';
import type { StoreStandIn } from './store.js';

export type RunEndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken';

interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly startedAt: number;
  readonly workMs: number;
  timer: NodeJS.Timeout | undefined;
}

type EndRecord = [number, string, number, RunEndKind, string];

export interface WorkerStandInOptions {
  readonly store: StoreStandIn;
  readonly id: string;
  readonly service?: string;
  readonly dataCentre?: string;
  readonly processorMillis?: number;
  readonly memoryMb?: number;
  readonly born?: number;
  /** Age at the start, which the worker's clock and its time of start show. */
  readonly uptimeMs?: number;
  /** Milliseconds of the worker's clock per millisecond. */
  readonly clockRate?: number;
  /** Whether the worker writes its registry entry at its start. */
  readonly listed?: boolean;
  readonly labels?: readonly string[];
  /** Returns the run time of a task from its spec. */
  readonly workMs?: (spec: string) => number;
  /** Time from a stop request to the end of the run. */
  readonly stopMs?: number;
  /** Returns the address to register instead of the worker's own, for example that of a proxy. */
  readonly advertise?: (address: string) => Promise<string>;
  /** Result of a run that ends by itself. */
  readonly outcome?: (task: string, run: number) => 'done' | 'failed';
}

/** The end of a run on a worker. */
export interface ObservedEnd {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly how: RunEndKind;
  readonly at: number;
}

/** The start of a run on a worker. */
export interface ObservedStart {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly at: number;
  /** Number of other tasks on the worker at that moment, including those that are being stopped. */
  readonly otherTasks: number;
}

export interface WorkerStandIn extends Listener {
  readonly id: string;
  readonly starts: readonly ObservedStart[];
  readonly finished: readonly ObservedEnd[];
  readonly running: ReadonlyMap<string, { readonly run: number }>;
  /** Highest sequence number of the ends that the host has acknowledged. */
  readonly acknowledgedThrough: number;
  /** Number of renewals received. */
  readonly renewals: number;
  /** While set, tasks make no progress and do not end by themselves, but the worker responds. */
  hanging: boolean;
  /** While set, the worker responds to nothing, as in a network partition, but tasks continue. */
  silent: boolean;
  /** Begins the next `count` tasks without responding to their start requests. */
  dropStartResponses(count: number): void;
  /** Number of starts, stops and renewals that were refused because of a stale epoch. */
  readonly staleEpochRejections: number;
  /** Writes the registry entry. */
  list(): void;
  /** Marks the worker as draining in its registry entry. */
  leave(): void;
  /** Terminates without notice. Running tasks and unacknowledged ends are lost, and the registry entry is removed. */
  crash(): Promise<void>;
}

const startSchema = z.object({
  task: z.string(),
  run: z.number(),
  spec: z.string(),
  'deadline-ms': z.number(),
  'fencing-token': z.number(),
});
const stopSchema = z.object({ task: z.string(), run: z.number(), 'fencing-token': z.number() });
const renewalSchema = z.object({
  'deadline-ms': z.number().optional(),
  'fencing-token': z.number(),
  'acked-through': z.number(),
  'wait-ms': z.number().default(0),
});
const MAX_LEASE_MS = 10_000;
const DEFAULT_STOP_MS = 20;

export async function startWorker(options: WorkerStandInOptions): Promise<WorkerStandIn> {
  const { store, id, uptimeMs = 0, clockRate = 1, listed = true } = options;
  const { born = Date.now() - uptimeMs, workMs = () => 50, outcome = () => 'done' } = options;
  const bootedAt = performance.now();
  const running = new Map<string, RunningTask>();
  const latestClosedRuns = new Map<string, number>();
  const starts: ObservedStart[] = [];
  const finished: ObservedEnd[] = [];
  let unacknowledgedEnds: EndRecord[] = [];
  let nextEnd = 1;
  let acknowledgedThrough = 0;
  let renewals = 0;
  let epoch = 0;
  let leaseUntil = 0;
  let startResponsesToDrop = 0;
  let staleEpochRejections = 0;
  let waiters: (() => void)[] = [];
  const state = { silent: false, hanging: false };

  const clockMs = () => Math.round(uptimeMs + (performance.now() - bootedAt) * clockRate);

  function finish(task: RunningTask, how: RunEndKind) {
    if (running.get(task.task) !== task) return;
    running.delete(task.task);
    clearTimeout(task.timer);
    latestClosedRuns.set(task.task, Math.max(task.run, latestClosedRuns.get(task.task) ?? 0));
    unacknowledgedEnds.push([nextEnd, task.task, task.run, how, '']);
    finished.push({ worker: id, task: task.task, run: task.run, how, at: Date.now() });
    nextEnd += 1;
    for (const resolve of waiters.splice(0)) resolve();
  }

  const leaseExpiryCheck = setInterval(() => {
    if (running.size === 0 || clockMs() < leaseUntil) return;
    for (const task of running.values()) finish(task, 'lapsed');
  }, 20);

  function extendLease(deadline: number | undefined) {
    if (deadline === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clockMs() + MAX_LEASE_MS));
  }

  function refuse(reason: string): HandlerResult {
    if (reason === 'fence') staleEpochRejections += 1;
    return { status: 409, body: { reason, 'clock-ms': clockMs() } };
  }

  function start(call: Call): HandlerResult {
    const body = parseJson(call, startSchema);
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    if (body['deadline-ms'] < clockMs()) return refuse('late');
    extendLease(body['deadline-ms']);
    const current = running.get(body.task);
    if (current?.run === body.run) return { status: 200, body: { 'clock-ms': clockMs() } };
    if (body.run <= (latestClosedRuns.get(body.task) ?? 0)) return refuse('old');
    const task: RunningTask = {
      task: body.task,
      run: body.run,
      startedAt: clockMs(),
      workMs: workMs(body.spec),
      timer: undefined,
    };
    task.timer = setTimeout(() => {
      if (!state.hanging) finish(task, outcome(body.task, body.run));
    }, task.workMs);
    running.set(body.task, task);
    starts.push({
      worker: id,
      task: body.task,
      run: body.run,
      at: Date.now(),
      otherTasks: running.size - 1,
    });
    if (startResponsesToDrop > 0) {
      startResponsesToDrop -= 1;
      return dropConnection(call);
    }
    return { status: 200, body: { 'clock-ms': clockMs() } };
  }

  function stop(call: Call): HandlerResult {
    const body = parseJson(call, stopSchema);
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    latestClosedRuns.set(body.task, Math.max(body.run, latestClosedRuns.get(body.task) ?? 0));
    const task = running.get(body.task);
    if (task !== undefined && task.run <= body.run) {
      setTimeout(() => {
        finish(task, 'stopped');
      }, options.stopMs ?? DEFAULT_STOP_MS);
    }
    return { status: 200, body: { 'clock-ms': clockMs() } };
  }

  async function renewLease(call: Call): Promise<HandlerResult> {
    const body = parseJson(call, renewalSchema);
    renewals += 1;
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    extendLease(body['deadline-ms']);
    acknowledgedThrough = Math.max(acknowledgedThrough, body['acked-through']);
    unacknowledgedEnds = unacknowledgedEnds.filter(([sequence]) => sequence > acknowledgedThrough);
    if (unacknowledgedEnds.length === 0 && body['wait-ms'] > 0) {
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, body['wait-ms']);
        waiters.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return {
      status: 200,
      body: {
        'clock-ms': clockMs(),
        born,
        running: [...running.values()].map((task) => {
          const elapsedMs = state.hanging ? 0 : clockMs() - task.startedAt;
          const percent = Math.min(99, (elapsedMs / task.workMs) * 100);
          return [task.task, task.run, '', Math.floor(percent), 0];
        }),
        ended: unacknowledgedEnds,
      },
    };
  }

  const unlessSilent =
    (handle: (call: Call) => HandlerResult | Promise<HandlerResult>) => (call: Call) =>
      state.silent ? HANDLED : handle(call);
  const listener = await listen({
    routes: [
      { method: 'POST', path: '/run-start', handle: unlessSilent(start) },
      { method: 'POST', path: '/run-stop', handle: unlessSilent(stop) },
      { method: 'POST', path: '/hold', handle: unlessSilent(renewLease) },
    ],
  });

  const ownAddress = new URL(listener.url).host;
  const address = (await options.advertise?.(ownAddress)) ?? ownAddress;
  let sequence = 0;
  function register(workerState: 'ready' | 'draining') {
    sequence += 1;
    const entry = {
      service: options.service ?? 'rota',
      address,
      zone: options.dataCentre ?? 'dc1',
      version: 'v1',
      capacity: 8,
      state: workerState,
      'cold-remaining-ms': 0,
      'free-capacity': {
        cpu: options.processorMillis ?? 4000,
        'mem-mb': options.memoryMb ?? 8192,
        gpu: 0,
      },
      labels: options.labels ?? ['a', 'r1-1'],
      'clock-ms': clockMs(),
      born,
      sequence,
      ...(workerState === 'draining' ? { 'drain-remaining-ms': 2000 } : {}),
    };
    const value = Buffer.from(JSON.stringify(entry)).toString('base64');
    store.items.apply([{ key: `servers/${id}`, value, lease: 0 }], []);
  }
  const list = () => {
    register('ready');
  };
  if (listed) list();

  async function close() {
    clearInterval(leaseExpiryCheck);
    for (const { timer } of running.values()) clearTimeout(timer);
    waiters = [];
    await listener.close();
  }

  return {
    url: listener.url,
    id,
    starts,
    finished,
    running,
    get acknowledgedThrough() {
      return acknowledgedThrough;
    },
    get renewals() {
      return renewals;
    },
    get hanging() {
      return state.hanging;
    },
    set hanging(value) {
      state.hanging = value;
    },
    get silent() {
      return state.silent;
    },
    set silent(value) {
      state.silent = value;
    },
    get staleEpochRejections() {
      return staleEpochRejections;
    },
    dropStartResponses: (count) => {
      startResponsesToDrop = count;
    },
    list,
    leave: () => {
      register('draining');
    },
    crash: async () => {
      await close();
      store.items.apply([], [`servers/${id}`]);
    },
    close,
  };
}
