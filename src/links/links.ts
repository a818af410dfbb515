/**
 * Creates the links of one entry host from a listener, a connector that dials peers, and the registry
 * of open connections.
 */
import { err, errAsync, ResultAsync } from 'neverthrow';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import { createHybridClock } from '../timeline/index.js';
import type { ConnectionContext, Dispatch } from './connection.js';
import { dial } from './dial.js';
import { createListener } from './listener.js';
import { createPeerConnector } from './peer-connector.js';
import { createConnectionRegistry, type ConnectionRegistry } from './connection-registry.js';
import {
  DEFAULT_LINK_TIMING,
  type LinkError,
  type Links,
  type LinksOptions,
  type LinkTiming,
  type MessageMap,
} from './types.js';

const DEFAULT_TIMEOUT_MS = 10_000;

type Handlers = Map<string, (body: unknown, from: string) => unknown>;

/** Starts listening for links; rejects if the address cannot be bound. */
export async function createLinks<M extends MessageMap<M>>(
  options: LinksOptions,
): Promise<Links<M>> {
  const handlers: Handlers = new Map();
  const context = createContext(options, handlers);
  const registry = createConnectionRegistry(context, options.onChange ?? (() => undefined));
  const reportDialResult = createDialResultReporter(options.log);
  const listener = await startListener(options, context, registry);
  const connector = createPeerConnector({
    self: context.self.host,
    registry,
    timing: context.timing,
    random: options.random ?? Math.random,
    dial: (host, signal) =>
      dialPeer(options, context, registry, { host, signal, reportDialResult }),
  });
  let closing: Promise<unknown> | undefined;

  return {
    port: listener.port,
    setPeers: connector.setPeers,
    connectedHosts: registry.connectedHosts,
    traffic: registry.traffic,
    request: (host, kind, body, { timeoutMs = DEFAULT_TIMEOUT_MS } = {}) => {
      const connection = registry.get(host);
      if (connection === undefined) return errAsync(notConnected(host));
      return new ResultAsync(connection.request(kind, body, timeoutMs));
    },
    notify: (host, kind, body) => registry.get(host)?.notify(kind, body).isOk() ?? false,
    handle: (kind, handler) => {
      handlers.set(kind, handler);
    },
    close: async () => {
      closing ??= Promise.all([connector.close(), registry.close().then(listener.close)]);
      await closing;
    },
  };
}

function createContext(options: LinksOptions, handlers: Handlers): ConnectionContext {
  const timing: LinkTiming = { ...DEFAULT_LINK_TIMING, ...options.timing };
  return {
    self: { host: options.host.id, bootId: options.bootId },
    clock: options.clock ?? createHybridClock(Date.now),
    filter: options.filter ?? (() => 'pass'),
    timing,
    log: options.log,
    dispatch: createDispatch(handlers),
    ...createSequenceTracking(),
  };
}

function startListener(
  options: LinksOptions,
  context: ConnectionContext,
  registry: ConnectionRegistry,
) {
  return createListener({
    self: context.self,
    secret: options.secret,
    address: options.listen.address,
    port: options.listen.port,
    tls: options.tls,
    handshakeTimeoutMs: context.timing.handshakeTimeoutMs,
    protect: options.protect,
    log: options.log,
    isBlocked: (host) => isBlocked(context, host),
    acceptsLink: registry.acceptsLink,
    onOpen: registry.open,
  });
}

interface DialAttempt {
  readonly host: Host;
  readonly signal: AbortSignal;
  readonly reportDialResult: ReportDialResult;
}

async function dialPeer(
  options: LinksOptions,
  context: ConnectionContext,
  registry: ConnectionRegistry,
  { host, signal, reportDialResult }: DialAttempt,
): Promise<void> {
  const { secret, tls } = options;
  const { handshakeTimeoutMs } = context.timing;
  const result = isBlocked(context, host.id)
    ? err('blocked by a test hook')
    : await dial(
        host,
        { self: context.self, secret, tls, handshakeTimeoutMs, signal },
        registry.open,
      );
  reportDialResult(host.id, result.isErr() ? result.error : undefined);
}

type ReportDialResult = (host: string, error: string | undefined) => void;

/** Warns only when the error of a peer changes; the same error of every dial would fill the log. */
function createDialResultReporter(log: Log): ReportDialResult {
  const errors = new Map<string, string>();
  return (peer, error) => {
    if (error === undefined) {
      errors.delete(peer);
      return;
    }
    if (errors.get(peer) === error) log.debug('Failed to dial a peer.', { peer, error });
    else log.warn('Failed to dial a peer; retrying.', { peer, error });
    errors.set(peer, error);
  };
}

/** Whether the filter drops either direction; a handshake needs both. */
function isBlocked({ filter }: ConnectionContext, host: string): boolean {
  return filter('send', host) === 'drop' || filter('receive', host) === 'drop';
}

function notConnected(host: string): LinkError {
  return { kind: 'not-connected', detail: `There is no link to ${host}.` };
}

function createDispatch(handlers: Handlers): Dispatch {
  return async (kind, body, from) => {
    const handler = handlers.get(kind);
    if (handler === undefined) throw new Error(`This host does not handle "${kind}".`);
    return await handler(body, from);
  };
}

/** Numbers the messages to each host and rejects received ones that are repeated or out of order. */
function createSequenceTracking(): Pick<ConnectionContext, 'nextSequence' | 'acceptSequence'> {
  const sent = new Map<string, number>();
  const received = new Map<string, { readonly bootId: string; readonly sequence: number }>();
  return {
    nextSequence: (host) => {
      const next = (sent.get(host) ?? 0) + 1;
      sent.set(host, next);
      return next;
    },
    acceptSequence: (peer, sequence) => {
      const last = received.get(peer.host);
      if (last?.bootId === peer.bootId && sequence <= last.sequence) return false;
      received.set(peer.host, { bootId: peer.bootId, sequence });
      return true;
    },
  };
}
