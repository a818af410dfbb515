/**
 * Minimal HTTP server for the stand-ins. It uses `node:http` directly, because injected faults
 * destroy connections and send responses that contradict their own headers.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';

export interface Call {
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  readonly headers: IncomingMessage['headers'];
  readonly body: Buffer;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

export interface Reply {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** A `Uint8Array` is sent unchanged, any other value as JSON. */
  readonly body?: unknown;
}

/** Returned by a handler that has responded, has destroyed the connection or leaves the caller waiting. */
export const HANDLED = 'handled';

export type HandlerResult = Reply | typeof HANDLED;

export interface Route {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE' | 'PATCH';
  /** Segments that start with a colon are parameters. */
  readonly path: string;
  readonly handle: (call: Call) => HandlerResult | Promise<HandlerResult>;
}

export interface Listener {
  readonly url: string;
  /** Stops listening and closes all connections, including those with a call in progress. */
  readonly close: () => Promise<void>;
}

export interface ListenOptions {
  readonly address?: string;
  readonly port?: number;
  readonly routes: readonly Route[];
}

/** Longer than clients keep idle connections, so that no client sends on a connection that is being closed. */
const KEEP_ALIVE_MS = 60_000;

export async function listen(options: ListenOptions): Promise<Listener> {
  const { address = '127.0.0.1', port = 0, routes } = options;
  const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
    void serve(routes, request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    url: `http://${address}:${String(bound.port)}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

async function serve(
  routes: readonly Route[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const result = await handle(routes, request, response);
    if (result !== HANDLED) sendReply(response, result);
  } catch (error) {
    const status = error instanceof z.ZodError || error instanceof SyntaxError ? 400 : 500;
    if (!response.headersSent) sendReply(response, { status, body: { error: String(error) } });
  }
}

async function handle(
  routes: readonly Route[],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<HandlerResult> {
  const url = new URL(request.url ?? '/', 'http://stand-in');
  for (const route of routes) {
    const parameters = route.method === request.method && matchPath(route.path, url.pathname);
    if (!parameters) continue;
    const body = await readBody(request);
    const { headers } = request;
    return route.handle({ parameters, query: url.searchParams, headers, body, request, response });
  }
  return { status: 404, body: { error: `no route ${request.method ?? ''} ${url.pathname}` } };
}

/** Sends a complete response; has no effect if the caller has disconnected. */
export function sendReply(response: ServerResponse, reply: Reply): void {
  const bytes = encodeBody(reply.body);
  const contentType = reply.body instanceof Uint8Array ? {} : { 'content-type': JSON_TYPE };
  response.writeHead(reply.status, {
    ...contentType,
    ...reply.headers,
    'content-length': bytes.byteLength,
  });
  response.end(bytes);
}

export function encodeBody(body: unknown): Uint8Array {
  if (body === undefined) return new Uint8Array();
  return body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body));
}

/** Destroys the connection without a response, as a crash or a network partition does. */
export function dropConnection(call: Call): typeof HANDLED {
  call.request.socket.destroy();
  return HANDLED;
}

export function parseJson<T>(call: Call, schema: z.ZodType<T>): T {
  return schema.parse(JSON.parse(call.body.toString()));
}

const JSON_TYPE = 'application/json';

function matchPath(pattern: string, path: string): Record<string, string> | undefined {
  const expected = pattern.split('/');
  const actual = path.split('/');
  if (expected.length !== actual.length) return undefined;
  const parameters: Record<string, string> = {};
  for (const [index, segment] of expected.entries()) {
    const value = actual[index] ?? '';
    if (segment.startsWith(':')) parameters[segment.slice(1)] = decodeURIComponent(value);
    else if (segment !== value) return undefined;
  }
  return parameters;
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
