/**
 * The worker stand-in: one HTTP listener per worker, and one for the process, which lists the workers.
 */
import type { Socket } from 'node:net';
import {
  listen,
  parseJson,
  type HandlerResult,
  type Call,
  type Listener,
  type Route,
} from '../http.js';
import { createAnswerSender } from './answers.js';
import { createAudit, type Audit } from './audit.js';
import { createTaskRoutes, refuseStart, taskIdOf } from './routes.js';
import { DEFAULT_SETTINGS, workerSettings, type WorkerSettings, type WorkerSpec } from './spec.js';
import { createTaskExecutor, type TaskExecutor } from './task-executor.js';

export interface WorkersOptions {
  readonly address?: string;
  readonly port?: number;
  readonly specs: readonly WorkerSpec[];
}

/** Starts all workers; the returned listener is that of the process. */
export async function startWorkers(options: WorkersOptions): Promise<Listener> {
  const { address = '127.0.0.1', port = 0, specs } = options;
  const listeners = await Promise.all(specs.map((spec) => startWorker(spec, address)));
  const workers = specs.map((spec, index) => describeWorker(spec, listeners[index]?.url ?? ''));
  const listRoute: Route = {
    method: 'GET',
    path: '/control/workers',
    handle: () => ({ status: 200, body: workers }),
  };
  const listener = await listen({ address, port, routes: [listRoute] });
  return {
    url: listener.url,
    close: async () => {
      await Promise.all([listener, ...listeners].map((each) => each.close()));
    },
  };
}

/** The worker as the host list shows it. */
function describeWorker(spec: WorkerSpec, url: string) {
  const { id, dataCentre, rack, capacity, slots, connections } = spec;
  return { id, dataCentre, rack, url, capacity, slots, connections, state: 'live' };
}

/** Starts one worker on its own port. */
export async function startWorker(spec: WorkerSpec, address = '127.0.0.1'): Promise<Listener> {
  const audit = createAudit(spec);
  const tasks = createTaskExecutor(spec, audit);
  const settings = { ...DEFAULT_SETTINGS };
  const sockets = new Set<Socket>();
  const routes = createTaskRoutes({
    tasks,
    sender: createAnswerSender(() => settings),
    settings: () => settings,
    connections: () => sockets.size,
  });
  const taskRoutes = routes.map((route) => wrapRoute(route, { spec, audit, tasks, sockets }));
  const controlRoutes = createControlRoutes({ spec, audit, tasks, sockets, settings });
  const listener = await listen({
    address,
    port: spec.port,
    routes: [...controlRoutes, ...taskRoutes],
  });
  return {
    url: listener.url,
    close: async () => {
      tasks.reboot();
      await listener.close();
    },
  };
}

interface WorkerState {
  readonly spec: WorkerSpec;
  readonly audit: Audit;
  readonly tasks: TaskExecutor;
  /** Connections on which entry hosts have made calls; control calls do not count. */
  readonly sockets: Set<Socket>;
}

/** Blocks calls while the worker is frozen, and refuses those that exceed the connection limit. */
function wrapRoute(route: Route, state: WorkerState): Route {
  const isStart = route.method === 'POST' && route.path === '/v1/tasks/:task';
  const handle = async (call: Call): Promise<HandlerResult> => {
    await state.tasks.waitWhileFrozen();
    if (countConnection(state, call.request.socket)) return route.handle(call);
    const detail = `more than ${String(state.spec.connections)} connections`;
    state.audit.addViolation({ kind: 'connections', effect: 'attempted', detail });
    const refusal = isStart ? refuseStart(taskIdOf(call), 'no-connection') : { status: 503 };
    return { ...refusal, headers: { ...refusal.headers, connection: 'close' } };
  };
  return { ...route, handle };
}

function countConnection({ spec, sockets }: WorkerState, socket: Socket): boolean {
  if (sockets.has(socket) || socket.destroyed) return true;
  if (sockets.size >= spec.connections) return false;
  sockets.add(socket);
  socket.once('close', () => sockets.delete(socket));
  return true;
}

function createControlRoutes(
  state: WorkerState & { readonly settings: WorkerSettings },
): readonly Route[] {
  const { spec, audit, tasks, sockets, settings } = state;
  return [
    {
      method: 'PATCH',
      path: '/control/settings',
      handle: (call) => {
        Object.assign(settings, parseJson(call, workerSettings.partial()));
        tasks.setFrozen(settings.frozen);
        return { status: 200, body: settings };
      },
    },
    {
      method: 'GET',
      path: '/control/record',
      handle: () => {
        const { runs, violations, peak } = audit;
        return {
          status: 200,
          body: {
            id: spec.id,
            bootId: tasks.bootId(),
            epoch: tasks.epoch(),
            runs,
            violations,
            peak,
          },
        };
      },
    },
    {
      method: 'POST',
      path: '/control/reboot',
      handle: () => {
        tasks.reboot();
        for (const socket of sockets) socket.destroy();
        return { status: 200, body: { bootId: tasks.bootId() } };
      },
    },
  ];
}
