/**
 * Helpers that several test folders share: releasing resources after each test, and servers that answer in ways that
 * no stand-in does.
 */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { BodyLimits } from '../src/callers/index.js';
import { createByteBudget } from '../src/client-limits/index.js';

/** Limits for bodies that no test meets, for applications that are called without a connection. */
export const UNLIMITED_BODIES: BodyLimits = {
  budget: createByteBudget(Infinity),
  maxSmallChunks: Infinity,
  record: () => undefined,
};

type ReleaseFunction = () => Promise<unknown>;

/** Registers a hook that releases the resources of each test in reverse order; returns the function that adds one. */
export function releaseAfterEach(): (release: ReleaseFunction) => void {
  const releases: ReleaseFunction[] = [];
  afterEach(async () => {
    for (const release of releases.splice(0).reverse()) await release();
  });
  return (release) => {
    releases.push(release);
  };
}

export interface RawServer {
  readonly url: string;
  readonly close: () => Promise<unknown>;
}

/** Starts an HTTP server whose responses are written by the listener alone. */
export async function startRawServer(listener: RequestListener): Promise<RawServer> {
  const server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${String(port)}`,
    close: async () => {
      const closed = once(server.close(), 'close');
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Repeats a check without a delay until it returns true or the test times out; the check must make a network call. */
export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  while (!(await check()));
}

/** Returns the URL of a local port on which nothing listens. */
export async function findClosedUrl(): Promise<string> {
  const server = await startRawServer(() => undefined);
  await server.close();
  return server.url;
}
