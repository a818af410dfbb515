/**
 * One entry host: its HTTP interface, its parts and its life from start to graceful shutdown.
 */
import { setMaxListeners } from 'node:events';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { promisify } from 'node:util';
import { serve } from '@hono/node-server';
import { Hono } from 'hono';
import { createCallerApp } from '../callers/index.js';
import type { Host } from '../model/index.js';
import { createOperatorApp } from '../operators/index.js';
import type { Settings } from '../settings/index.js';
import { createCallerBackend } from './caller-backend.js';
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
  /** Finishes and hands over all work; no caller is cut off. */
  drain(): Promise<void>;
  /** Ends at once. */
  close(): Promise<void>;
}

const STARTING_STATUS = 503;
const POLL_MS = 20;
/**
 * Idle connections are kept longer than callers keep them, so that the caller closes first: a request that crosses
 * the host's end of the connection would be reset. Callers' libraries keep them for 4 to 30 s.
 */
const KEEP_ALIVE_MS = 60_000;
/** A host that leaves ends connections that were idle for this long; callers that know of it have ended theirs. */
const LEAVING_IDLE_MS = 8000;

/** Starts an entry host; it serves once the promise resolves. */
export async function startEntryHost(settings: Settings): Promise<EntryHost> {
  const interfaces: { app?: Hono } = {};
  const server = await listen(
    settings,
    (request) => interfaces.app?.fetch(request) ?? new Response(null, { status: STARTING_STATUS }),
  );
  const { port } = server.address() as AddressInfo;
  const parts = createHostComponents(await createHostContext(settings, port));
  const stopLoops = new AbortController();
  // Every loop and every waiting task listens to these signals.
  setMaxListeners(0, stopLoops.signal, parts.abort.signal);
  registerPeerHandlers(parts);
  startLoops(parts, stopLoops.signal);
  interfaces.app = createApp(parts);
  parts.log.info('Serves.', { url: parts.host.url, link: parts.host.linkUrl });

  async function close(): Promise<void> {
    parts.abort.abort();
    stopLoops.abort();
    parts.dispatcher.close();
    server.closeAllConnections();
    server.close();
    await Promise.all([parts.links.close(), parts.heldWorkers.close(), parts.metrics.close()]);
  }

  return {
    host: parts.host,
    drain: async () => {
      await drainHost(parts, () => stopListening(server));
      await endConnections(server);
      await close();
    },
    close,
  };
}

async function listen(
  { listen: { address, port } }: Settings,
  fetch: (request: Request) => Response | Promise<Response>,
): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch, hostname: address, port }, () => {
      resolve(server as Server);
    });
    (server as Server).keepAliveTimeout = KEEP_ALIVE_MS;
    server.once('error', reject);
  });
}

function createApp(parts: HostComponents): Hono {
  const app = new Hono();
  const { settings, now } = parts;
  app.use(async (context, next) => {
    await next();
    // Callers on kept connections move to another host while this one leaves.
    if (parts.phase.leaving) context.header('connection', 'close');
  });
  if (settings.faultInjection) app.route('/', createFaultApp(parts));
  app.route(
    '/',
    createOperatorApp({
      backend: createOperatorBackend(parts),
      bootstrapKeyHash: settings.operators.bootstrapKeyHash,
    }),
  );
  const backend = createCallerBackend(parts);
  app.route('/', createCallerApp({ backend, limits: settings.limits, now }));
  return app;
}

/** Waits until every answer has been sent and callers have ended their connections, or were idle for long. */
async function endConnections(server: Server): Promise<void> {
  const idleFrom = performance.now() + LEAVING_IDLE_MS;
  while (await hasConnections(server)) {
    if (performance.now() > idleFrom) server.closeIdleConnections();
    await delay(POLL_MS);
  }
}

async function hasConnections(server: Server): Promise<boolean> {
  const count = await promisify(server.getConnections.bind(server))();
  return count > 0;
}
