/**
 * Accepts links from peers that prove that they know the cluster secret. All checks run before the
 * upgrade is accepted, so no message of an unauthenticated peer is ever decoded.
 */
import { createServer, type IncomingMessage, type Server } from 'node:http';
import { createServer as createSecureServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import { err, ok, type Result } from 'neverthrow';
import { WebSocketServer, type WebSocket } from 'ws';
import type { LinkListenerGuard } from '../client-limits/index.js';
import type { Log } from '../log/index.js';
import type { AuthenticatedSocket } from './connection.js';
import {
  handshakeResponseHeaders,
  verifyHandshakeRequest,
  type HandshakeRequest,
  type Identity,
} from './handshake.js';
import { MAX_MESSAGE_BYTES } from './message.js';
import type { LinkTls } from './types.js';

export interface Listener {
  readonly port: number;
  readonly close: () => Promise<void>;
}

export interface ListenerOptions {
  readonly self: Identity;
  readonly secret: string;
  readonly address: string;
  readonly port: number;
  readonly tls: LinkTls | undefined;
  readonly handshakeTimeoutMs: number;
  readonly protect: ((server: Server) => LinkListenerGuard) | undefined;
  readonly log: Log;
  /** Whether a test hook blocks links with the host. */
  readonly isBlocked: (host: string) => boolean;
  /** Whether a new link of this peer would be kept. */
  readonly acceptsLink: (peer: Identity, dialler: string) => boolean;
  readonly onOpen: (open: AuthenticatedSocket) => void;
}

interface Rejection {
  readonly status: 401 | 403 | 409;
  readonly detail: string;
}

const STATUS_TEXTS = { 401: 'Unauthorized', 403: 'Forbidden', 409: 'Conflict' } as const;

export async function createListener(options: ListenerOptions): Promise<Listener> {
  const server = createHttpServer(options.tls, options.handshakeTimeoutMs);
  const guard = options.protect?.(server);
  server.on('request', (request, response) => {
    if (guard?.admit(request, response) === false) return;
    response
      .writeHead(426, { connection: 'close' })
      .end('This port serves links between entry hosts only.\n');
  });
  const handshakeRequests = new WeakMap<IncomingMessage, HandshakeRequest>();
  const upgrades = new WebSocketServer({
    noServer: true,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
  });
  upgrades.on('headers', (headers, request) => {
    const handshake = handshakeRequests.get(request);
    if (handshake)
      headers.push(...handshakeResponseHeaders(options.self, handshake, options.secret));
  });
  server.on('upgrade', (request: IncomingMessage, stream: Duplex, head: Buffer) => {
    stream.on('error', () => stream.destroy());
    const checked = checkHandshakeRequest(options, request);
    if (checked.isErr()) {
      rejectUpgrade(options.log, request, stream, checked.error);
      return;
    }
    if (guard?.establish(request.socket) === false) return;
    handshakeRequests.set(request, checked.value);
    upgrades.handleUpgrade(request, stream, head, (socket: WebSocket) => {
      const { host, bootId } = checked.value;
      const transport = request.socket;
      options.onOpen({ peer: { host, bootId }, dialler: host, socket, transport });
    });
  });
  await listen(server, options);
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

function createHttpServer(tls: LinkTls | undefined, handshakeTimeoutMs: number): Server {
  const limits = {
    headersTimeout: handshakeTimeoutMs,
    requestTimeout: handshakeTimeoutMs,
    connectionsCheckingInterval: handshakeTimeoutMs,
    handshakeTimeout: handshakeTimeoutMs,
  };
  return tls
    ? createSecureServer({ ...limits, ...tls, requestCert: true, rejectUnauthorized: true })
    : createServer(limits);
}

function listen(server: Server, { address, port }: ListenerOptions): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      server.off('error', reject);
      resolve();
    });
  });
}

function checkHandshakeRequest(
  options: ListenerOptions,
  request: IncomingMessage,
): Result<HandshakeRequest, Rejection> {
  const handshake = verifyHandshakeRequest(request.headers, options.secret);
  if (handshake === undefined) {
    return err({ status: 401, detail: 'use the same cluster secret on all hosts' });
  }
  if (handshake.target !== options.self.host) {
    return err({ status: 409, detail: `this is ${options.self.host}, not ${handshake.target}` });
  }
  if (handshake.host === options.self.host) {
    return err({ status: 409, detail: 'two hosts have the same id; give each its own' });
  }
  if (options.isBlocked(handshake.host))
    return err({ status: 403, detail: 'blocked by a test hook' });
  if (!options.acceptsLink(handshake, handshake.host)) {
    return err({ status: 409, detail: 'a link between both hosts is already open' });
  }
  return ok(handshake);
}

function rejectUpgrade(
  log: Log,
  request: IncomingMessage,
  stream: Duplex,
  { status, detail }: Rejection,
): void {
  const address = request.socket.remoteAddress;
  if (status === 401) log.warn('Rejected a link without a valid proof.', { address });
  else log.info('Rejected a link.', { address, detail });
  stream.end(
    `HTTP/1.1 ${String(status)} ${STATUS_TEXTS[status]}\r\nConnection: close\r\n` +
      `Content-Type: text/plain\r\nContent-Length: ${String(Buffer.byteLength(detail))}\r\n\r\n${detail}`,
    // Otherwise the HTTP server keeps its side open until the peer closes.
    () => stream.destroy(),
  );
}
