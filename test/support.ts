/**
 * What several test files share: resources that are released after each test, and servers that
 * answer in ways that no stand-in does.
 */
import { once } from 'node:events';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';

type Release = () => Promise<unknown>;

/** Collects what a test opens and releases it in the hook of the calling suite. */
export function releaseAfterEach(): (release: Release) => void {
  const releases: Release[] = [];
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

/** Repeats a check that makes a call each time, until it holds or the test times out. */
export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  while (!(await check()));
}

/** An address on which nothing listens. */
export async function findClosedUrl(): Promise<string> {
  const server = await startRawServer(() => undefined);
  await server.close();
  return server.url;
}
