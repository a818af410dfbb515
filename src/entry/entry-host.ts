/**
 * One entry host: its HTTP interface, its components and its lifecycle from start to graceful shutdown.
 */
import { setMaxListeners } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { promisify } from 'node:util';
import { getRequestListener, type HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { createCallerApp, type BodyLimits } from '../callers/index.js';
import type { ClientGuard } from '../client-limits/index.js';
import type { Host } from '../model/index.js';
import { createOperatorApp } from '../operators/index.js';
import type { Settings } from '../settings/index.js';
import { createCallerBackend } from './caller-backend.js';
import { CALLERS, createEntryGuard } from './client-limits.js';
import { createFaultApp } from './fault-app.js';
import { createHostContext } from './host-context.js';
import { startLoops } from './loops.js';
import { createOperatorBackend } from './operator-backend.js';
import { createHostComponents, type HostComponents } from './host-components.js';
import { registerPeerHandlers } from './peer-handlers.js';
import { drainHost } from './shutdown.js';
import { stopListening } from './stop-listening.js';

/** A running entry host. */
export interface EntryHost {
  /** The host as it should appear in the host list. */
  readonly host: Host;
  /** Finishes or hands over all work, then stops; requests of callers are not interrupted. */
  drain(): Promise<void>;
  /** Stops immediately. */
  close(): Promise<void>;
}

const STARTING_STATUS = 503;
const POLL_MS = 20;
/**
 * Longer than callers keep idle connections (their libraries: 4 to 30 s), so that the caller closes first: a request
 * that is sent while the host closes the connection would be reset.
 */
const KEEP_ALIVE_MS = 60_000;
/** A leaving host closes idle connections only after this time, in which callers that know of it close theirs. */
const LEAVING_IDLE_MS = 8000;

/** Starts an entry host; it serves once the promise resolves. */
export async function startEntryHost(settings: Settings): Promise<EntryHost> {
  const started: { app?: Hono; components?: HostComponents } = {};
  const guard = createEntryGuard(settings, () => started.components?.metrics);
  const server = await listen(
    settings,
    guard,
    (request, bindings) =>
      started.app?.fetch(request, bindings) ?? new Response(null, { status: STARTING_STATUS }),
  );
  const { port } = server.address() as AddressInfo;
  const components = createHostComponents(await createHostContext(settings, port, guard));
  started.components = components;
  const stopLoops = new AbortController();
  // Every loop and every waiting task listens to these signals, so the number of listeners is unbounded.
  setMaxListeners(0, stopLoops.signal, components.abort.signal);
  registerPeerHandlers(components);
  startLoops(components, stopLoops.signal);
  started.app = createApp(components, limitBodies(guard));
  components.log.info('Serves.', {
    url: components.host.url,
    link: components.host.linkUrl,
  });

  async function close(): Promise<void> {
    components.abort.abort();
    stopLoops.abort();
    components.dispatcher.close();
    guard.close();
    server.closeAllConnections();
    server.close();
    await Promise.all([
      components.links.close(),
      components.heldWorkers.close(),
      components.metrics.close(),
    ]);
  }

  return {
    host: components.host,
    drain: async () => {
      await drainHost(components, () => stopListening(server));
      await awaitConnectionsClosed(server);
      await close();
    },
    close,
  };
}

function limitBodies(guard: ClientGuard): BodyLimits {
  return {
    budget: guard.budget,
    maxSmallChunks: guard.maxSmallChunks,
    fragmentedBodies: guard.fragmentedBodies,
    record: (cause) => {
      guard.record(CALLERS, cause);
    },
  };
}

async function listen(
  { listen: { address, port }, limits }: Settings,
  guard: ClientGuard,
  fetch: (request: Request, bindings: HttpBindings) => Response | Promise<Response>,
): Promise<Server> {
  // The host name serves requests of HTTP/1.0, which have none.
  const handle = getRequestListener(
    (request, bindings) => fetch(request, bindings as HttpBindings),
    { hostname: address },
  );
  const server = createServer((request, response) => {
    if (connections.admit(request, response)) void handle(request, response);
  });
  const connections = guard.protect(server, CALLERS, limits.callerConnections);
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      resolve(server);
    });
  });
}

function createApp(components: HostComponents, bodies: BodyLimits): Hono {
  const app = new Hono();
  const { settings, now } = components;
  app.use(async (context, next) => {
    await next();
    // Makes callers with kept-alive connections reconnect to another host while this one is leaving.
    if (components.phase.leaving) context.header('connection', 'close');
  });
  if (settings.faultInjection) app.route('/', createFaultApp(components));
  app.route(
    '/',
    createOperatorApp({
      backend: createOperatorBackend(components),
      bodies,
      bootstrapKeyHash: settings.operators.bootstrapKeyHash,
    }),
  );
  const backend = createCallerBackend(components);
  app.route('/', createCallerApp({ backend, limits: settings.limits, bodies, now }));
  return app;
}

/** Waits until all connections are closed; those that are still idle after LEAVING_IDLE_MS are closed here. */
async function awaitConnectionsClosed(server: Server): Promise<void> {
  const closeIdleAt = performance.now() + LEAVING_IDLE_MS;
  while (await hasConnections(server)) {
    if (performance.now() > closeIdleAt) server.closeIdleConnections();
    await delay(POLL_MS);
  }
}

async function hasConnections(server: Server): Promise<boolean> {
  const count = await promisify(server.getConnections.bind(server))();
  return count > 0;
}
