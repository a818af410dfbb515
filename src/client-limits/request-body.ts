/**
 * Collects the body of a request that an application handles, from the connection if it came over one. Requests that
 * were made within the process have no connection and are only checked for their size.
 */
import type { IncomingMessage } from 'node:http';
import { collectBody } from './body-collector.js';
import type { BodyCollector, BodyCollectorOptions, CollectedBody } from './body-collector.js';

/** What a request needs to have; contexts of Hono have it. */
export interface BodySource {
  readonly env: unknown;
  readonly req: { readonly raw: Request };
}

export function collectRequestBody(
  { env, req }: BodySource,
  options: BodyCollectorOptions,
): BodyCollector {
  const { incoming } = (env ?? {}) as { readonly incoming?: IncomingMessage };
  if (incoming !== undefined) return collectBody(incoming, options);
  return { collected: readWhole(req.raw, options.maxBytes), release: () => undefined };
}

async function readWhole(request: Request, maxBytes: number): Promise<CollectedBody> {
  const bytes = new Uint8Array(await request.arrayBuffer());
  return bytes.byteLength > maxBytes ? { kind: 'too-large' } : { kind: 'complete', bytes };
}
