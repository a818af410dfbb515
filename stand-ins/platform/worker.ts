/**
 * Stand-in of the platform's workers: takes starts, stops and lease renewals over the published protocol,
 * runs tasks in real time, and audits what it sees: room, tickets and two runs of one task.
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

type EndRow = [number, string, number, RunEndKind, string];

export interface WorkerStandInOptions {
  readonly store: StoreStandIn;
  readonly id: string;
  readonly service?: string;
  readonly dataCentre?: string;
  readonly processorMillis?: number;
  readonly memoryMb?: number;
  readonly born?: number;
  readonly labels?: readonly string[];
  /** Run time of a task, taken from its spec. */
  readonly workMs?: (spec: string) => number;
  /** Time that a stop takes. */
  readonly stopMs?: number;
  /** Address to register instead of its own, for instance that of a proxy. */
  readonly advertise?: (address: string) => Promise<string>;
  /** How a task ends that was not stopped. */
  readonly outcome?: (task: string, run: number) => 'done' | 'failed';
}

/** An end of a run at a worker. */
export interface ObservedEnd {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly how: RunEndKind;
  readonly at: number;
}

/** A start that a worker has begun. */
export interface ObservedStart {
  readonly worker: string;
  readonly task: string;
  readonly run: number;
  readonly at: number;
  /** Other tasks that the worker had at that moment, those being stopped included. */
  readonly otherTasks: number;
}

export interface WorkerStandIn extends Listener {
  readonly id: string;
  readonly starts: readonly ObservedStart[];
  readonly finished: readonly ObservedEnd[];
  readonly running: ReadonlyMap<string, { readonly run: number }>;
  readonly acknowledgedThrough: number;
  /** Renewals so far. */
  readonly renewals: number;
  /** Tasks make no progress and never end by themselves, while the worker answers. */
  hanging: boolean;
  /** Answers nothing, as a partition does, while tasks go on. */
  silent: boolean;
  /** The next starts are carried out and not answered. */
  dropStartResponses(count: number): void;
  /** Renewals and starts that were refused because of their epoch. */
  readonly staleEpochRejections: number;
  leave(): void;
  /** Ends without a word; what ran and what had ended there is gone, and so is its entry. */
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
const holdSchema = z.object({
  'deadline-ms': z.number().optional(),
  'fencing-token': z.number(),
  'acked-through': z.number(),
  'wait-ms': z.number().default(0),
});
const MAX_LEASE_MS = 10_000;
const DEFAULT_STOP_MS = 20;

export async function startWorker(options: WorkerStandInOptions): Promise<WorkerStandIn> {
  const { store, id, born = Date.now(), workMs = () => 50, outcome = () => 'done' } = options;
  const bootedAt = performance.now();
  const running = new Map<string, RunningTask>();
  const closedRuns = new Map<string, number>();
  const starts: ObservedStart[] = [];
  const finished: ObservedEnd[] = [];
  let ends: EndRow[] = [];
  let nextEnd = 1;
  let acknowledgedThrough = 0;
  let renewals = 0;
  let epoch = 0;
  let leaseUntil = 0;
  let lostStarts = 0;
  let staleOrders = 0;
  let waiters: (() => void)[] = [];
  const state = { silent: false, hanging: false };

  const clock = () => Math.round(performance.now() - bootedAt);

  function finish(task: RunningTask, how: RunEndKind) {
    if (running.get(task.task) !== task) return;
    running.delete(task.task);
    clearTimeout(task.timer);
    closedRuns.set(task.task, Math.max(task.run, closedRuns.get(task.task) ?? 0));
    ends.push([nextEnd, task.task, task.run, how, '']);
    finished.push({ worker: id, task: task.task, run: task.run, how, at: Date.now() });
    nextEnd += 1;
    for (const resolve of waiters.splice(0)) resolve();
  }

  const lapseCheck = setInterval(() => {
    if (running.size === 0 || clock() < leaseUntil) return;
    for (const task of running.values()) finish(task, 'lapsed');
  }, 20);

  function extend(deadline: number | undefined) {
    if (deadline === undefined) return;
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_LEASE_MS));
  }

  function refuse(reason: string): HandlerResult {
    if (reason === 'fence') staleOrders += 1;
    return { status: 409, body: { reason, 'clock-ms': clock() } };
  }

  function start(call: Call): HandlerResult {
    const body = parseJson(call, startSchema);
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    if (body['deadline-ms'] < clock()) return refuse('late');
    extend(body['deadline-ms']);
    const present = running.get(body.task);
    if (present?.run === body.run) return { status: 200, body: { 'clock-ms': clock() } };
    if (body.run <= (closedRuns.get(body.task) ?? 0)) return refuse('old');
    const task: RunningTask = {
      task: body.task,
      run: body.run,
      startedAt: clock(),
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
    if (lostStarts > 0) {
      lostStarts -= 1;
      return dropConnection(call);
    }
    return { status: 200, body: { 'clock-ms': clock() } };
  }

  function stop(call: Call): HandlerResult {
    const body = parseJson(call, stopSchema);
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    closedRuns.set(body.task, Math.max(body.run, closedRuns.get(body.task) ?? 0));
    const task = running.get(body.task);
    if (task !== undefined && task.run <= body.run) {
      setTimeout(() => {
        finish(task, 'stopped');
      }, options.stopMs ?? DEFAULT_STOP_MS);
    }
    return { status: 200, body: { 'clock-ms': clock() } };
  }

  async function hold(call: Call): Promise<HandlerResult> {
    const body = parseJson(call, holdSchema);
    renewals += 1;
    if (body['fencing-token'] < epoch) return refuse('fence');
    epoch = body['fencing-token'];
    extend(body['deadline-ms']);
    acknowledgedThrough = Math.max(acknowledgedThrough, body['acked-through']);
    ends = ends.filter(([sequence]) => sequence > acknowledgedThrough);
    if (ends.length === 0 && body['wait-ms'] > 0) {
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
        'clock-ms': clock(),
        born,
        running: [...running.values()].map((task) => {
          const worked = state.hanging ? 0 : clock() - task.startedAt;
          const percent = Math.min(99, (worked / task.workMs) * 100);
          return [task.task, task.run, '', Math.floor(percent), 0];
        }),
        ended: ends,
      },
    };
  }

  const guard = (handle: (call: Call) => HandlerResult | Promise<HandlerResult>) => (call: Call) =>
    state.silent ? HANDLED : handle(call);
  const listener = await listen({
    routes: [
      { method: 'POST', path: '/run-start', handle: guard(start) },
      { method: 'POST', path: '/run-stop', handle: guard(stop) },
      { method: 'POST', path: '/hold', handle: guard(hold) },
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
      'clock-ms': clock(),
      born,
      sequence,
      ...(workerState === 'draining' ? { 'drain-remaining-ms': 2000 } : {}),
    };
    const value = Buffer.from(JSON.stringify(entry)).toString('base64');
    store.items.apply([{ key: `servers/${id}`, value, lease: 0 }], []);
  }
  register('ready');

  async function close() {
    clearInterval(lapseCheck);
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
      return staleOrders;
    },
    dropStartResponses: (count) => {
      lostStarts = count;
    },
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
