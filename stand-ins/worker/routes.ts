/**
 * HTTP interface of a worker for entry hosts.
 */
import { z } from 'zod';
import { parseJson, type HandlerResult, type Call, type Reply, type Route } from '../http.js';
import { TASK_HEADER, type AnswerSender } from './answers.js';
import type { Run } from './audit.js';
import { resources, type Resources, type WorkerSettings } from './spec.js';
import type { StartRequest, TaskExecutor } from './task-executor.js';

export interface RouteOptions {
  readonly tasks: TaskExecutor;
  readonly sender: AnswerSender;
  readonly settings: () => WorkerSettings;
  /** Number of connections that entry hosts use. */
  readonly connections: () => number;
}

const epochRequest = z.object({ epoch: z.number().int() });
const raiseRequest = epochRequest.extend({ holder: z.string() });
const renewal = epochRequest.extend({ leaseMs: z.number().positive() });
const throttling = epochRequest.extend({ fraction: z.number().positive().max(1) });
const count = z.coerce.number().nonnegative();

export function createTaskRoutes(options: RouteOptions): readonly Route[] {
  const { tasks } = options;
  return [
    { method: 'PUT', path: '/v1/epoch', handle: (call) => raiseEpoch(tasks, call) },
    { method: 'POST', path: '/v1/tasks/:task', handle: (call) => startTask(options, call) },
    { method: 'GET', path: '/v1/tasks/:task/answer', handle: (call) => joinTask(options, call) },
    {
      method: 'POST',
      path: '/v1/renewals',
      handle: fencedHandler(tasks, renewal, (_call, { leaseMs }) => {
        tasks.renew(leaseMs);
      }),
    },
    {
      method: 'POST',
      path: '/v1/tasks/:task/stop',
      handle: fencedHandler(tasks, epochRequest, (call) => {
        tasks.stop(taskIdOf(call));
      }),
    },
    {
      method: 'POST',
      path: '/v1/tasks/:task/checkpoint',
      handle: fencedHandler(tasks, epochRequest, (call) => {
        const run = tasks.find(taskIdOf(call))?.run;
        if (run?.outcome === 'running') run.checkpoints += 1;
      }),
    },
    {
      method: 'POST',
      path: '/v1/tasks/:task/throttle',
      handle: fencedHandler(tasks, throttling, (call, { fraction }) => {
        tasks.throttle(taskIdOf(call), fraction);
      }),
    },
    { method: 'GET', path: '/v1/report', handle: () => createReport(options) },
  ];
}

/** Creates a handler that refuses callers whose request does not name the current epoch. */
function fencedHandler<T extends { readonly epoch: number }>(
  tasks: TaskExecutor,
  schema: z.ZodType<T>,
  act: (call: Call, body: T) => void,
): (call: Call) => Reply {
  return (call) => {
    const body = parseJson(call, schema);
    if (body.epoch !== tasks.epoch()) return refuseEpoch(tasks);
    act(call, body);
    return { status: 200, body: { bootId: tasks.bootId() } };
  };
}

function raiseEpoch(tasks: TaskExecutor, call: Call): Reply {
  const { epoch, holder } = parseJson(call, raiseRequest);
  if (!tasks.raiseEpoch(epoch, holder)) return refuseEpoch(tasks);
  const running = tasks.running().map(({ run }) => describeRunning(run));
  return { status: 200, body: { bootId: tasks.bootId(), epoch, running } };
}

function refuseEpoch(tasks: TaskExecutor): Reply {
  const body = { error: 'the epoch is not current', epoch: tasks.epoch(), bootId: tasks.bootId() };
  return { status: 409, body };
}

function describeRunning({ task, team, entry, class: kind, size, chargedTo, epoch }: Run) {
  return { id: task, team, entry, class: kind, size, chargedTo, epoch };
}

async function startTask(options: RouteOptions, call: Call): Promise<HandlerResult> {
  const { tasks, sender, settings } = options;
  const { state, failAll } = settings();
  const started = tasks.start(parseStartRequest(call), {
    leaving: state === 'leaving',
    fail: failAll,
  });
  if (typeof started === 'string') return refuseStart(taskIdOf(call), started);
  return sender.send(call, await started.answer);
}

/** Response to a refused start, which states that this start did not run the task. */
export function refuseStart(task: string, reason: string): Reply {
  return {
    status: 409,
    headers: { 'sapphirewing-refused': reason, [TASK_HEADER]: encodeURIComponent(task) },
    body: { error: `the task was not started: ${reason}` },
  };
}

async function joinTask({ tasks, sender }: RouteOptions, call: Call): Promise<HandlerResult> {
  const id = taskIdOf(call);
  const found = tasks.find(id);
  if (found !== undefined) return sender.send(call, await found.answer);
  return {
    status: 404,
    headers: { 'sapphirewing-boot': tasks.bootId(), [TASK_HEADER]: encodeURIComponent(id) },
    body: { error: 'the task was not seen since boot', bootId: tasks.bootId() },
  };
}

function createReport({ tasks, settings, connections }: RouteOptions): Reply {
  const { usageFactor, reportLagMs, state } = settings();
  const observed = tasks.runningAt(Date.now() - reportLagMs);
  const usage = observed.map(({ run, fraction }): readonly [string, Resources] => [
    run.task,
    {
      processors: run.size.processors * usageFactor * fraction,
      memoryMb: run.size.memoryMb * usageFactor,
      accelerators: run.size.accelerators,
    },
  ]);
  return {
    status: 200,
    body: {
      bootId: tasks.bootId(),
      usage: Object.fromEntries(usage),
      leaving: state === 'leaving',
      slotsInUse: observed.length,
      connectionsInUse: connections(),
    },
  };
}

function parseStartRequest(call: Call): StartRequest {
  const header = (name: string) => z.string().parse(call.headers[`sapphirewing-${name}`]);
  const text = (name: string) => decodeURIComponent(header(name));
  return {
    task: taskIdOf(call),
    team: text('team'),
    entry: text('entry'),
    class: header('class'),
    size: resources.parse(JSON.parse(header('size'))),
    chargedTo: text('charged-to'),
    epoch: count.parse(header('epoch')),
    leaseMs: count.parse(header('lease-ms')),
    maxRunMs: count.parse(header('max-run-ms')),
    input: call.body,
    contentType: call.headers['content-type'] ?? 'application/octet-stream',
  };
}

export function taskIdOf(call: Call): string {
  return call.parameters.task ?? '';
}
