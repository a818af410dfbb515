/**
 * The platform's key-value service over HTTP.
 *
 * Assumed of the service: 503 and all 4xx statuses mean that a write had no effect. Any other
 * failure after the request may have been sent leaves a write in doubt.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { z } from 'zod';
import {
  createRequestSender,
  describeError,
  wasNeverSent,
  type HttpResponse,
  type HttpOptions,
  type HttpRequest,
} from './http.js';
import type { Store, StoreError, VersionedValue } from './store.js';

/** Longest wait of one watch call; a shorter one costs more calls, and each call is charged. */
const WATCH_WAIT_MS = 30_000;
const CONFLICT_STATUS = 409;
const UNAVAILABLE_STATUS = 503;

const versioned = z.object({ value: z.string(), version: z.number() });
const written = z.object({ version: z.number() });
const listing = z.object({ items: z.array(versioned.extend({ key: z.string() })) });

type Access = 'read' | 'write';
/** Decoders of the expected statuses; each throws if the body is not what the status promises. */
type Decoders<T> = Readonly<Record<number, (body: string) => T>>;

export function createStore(options: HttpOptions): Store {
  const send = createRequestSender(options);
  let calls = 0;

  function call<T>(request: HttpRequest, access: Access, decoders: Decoders<T>) {
    calls += 1;
    return ResultAsync.fromPromise(send(request), (error) => failCall(error, access)).andThen(
      (answer) => decodeAnswer(answer, access, decoders),
    );
  }

  function watch(key: string, sinceVersion: number, signal: AbortSignal) {
    if (signal.aborted) return okAsync<VersionedValue | undefined, StoreError>(undefined);
    const query = `since=${String(sinceVersion)}&waitMs=${String(WATCH_WAIT_MS)}`;
    const path = `${pathOf(key)}?${query}`;
    return call({ method: 'GET', path, signal, waitMs: WATCH_WAIT_MS }, 'read', {
      ...READ_DECODERS,
      204: () => undefined,
    }).orElse((error) => (signal.aborted ? okAsync(undefined) : errAsync(error)));
  }

  return {
    get: (key) => call({ method: 'GET', path: pathOf(key) }, 'read', READ_DECODERS),
    list: (prefix) => {
      const path = `/v1/keys?prefix=${encodeURIComponent(prefix)}`;
      return call({ method: 'GET', path }, 'read', { 200: decodeListing });
    },
    compareAndSwap: (key, expectedVersion, value) => {
      const path = `${pathOf(key)}?version=${String(expectedVersion)}`;
      return call({ method: 'PUT', path, body: value }, 'write', {
        200: (body) => written.parse(JSON.parse(body)).version,
      });
    },
    remove: (key, expectedVersion) => {
      const path = `${pathOf(key)}?version=${String(expectedVersion)}`;
      return call({ method: 'DELETE', path }, 'write', { 200: () => undefined });
    },
    watch,
    calls: () => calls,
  };
}

const READ_DECODERS: Decoders<VersionedValue | undefined> = {
  200: (body) => versioned.parse(JSON.parse(body)),
  404: () => undefined,
};

function pathOf(key: string): string {
  return `/v1/keys/${encodeURIComponent(key)}`;
}

function decodeListing(body: string): ReadonlyMap<string, VersionedValue> {
  const { items } = listing.parse(JSON.parse(body));
  return new Map(items.map(({ key, value, version }) => [key, { value, version }]));
}

function decodeAnswer<T>(
  answer: HttpResponse,
  access: Access,
  decoders: Decoders<T>,
): ResultAsync<T, StoreError> {
  const { status, body } = answer;
  const decode = decoders[status];
  if (decode === undefined) return errAsync(refuseCall(answer, access));
  try {
    return okAsync(decode(body));
  } catch (error) {
    return errAsync(failCall(error, access));
  }
}

function refuseCall({ status, body }: HttpResponse, access: Access): StoreError {
  const detail = `the store answered ${String(status)}: ${body.slice(0, 200)}`;
  if (access === 'write' && status === CONFLICT_STATUS) return { kind: 'conflict', detail };
  const withoutEffect = status === UNAVAILABLE_STATUS || (status >= 400 && status < 500);
  return { kind: access === 'read' || withoutEffect ? 'unavailable' : 'in-doubt', detail };
}

function failCall(error: unknown, access: Access): StoreError {
  const kind = access === 'read' || wasNeverSent(error) ? 'unavailable' : 'in-doubt';
  return { kind, detail: `the call to the store failed: ${describeError(error)}` };
}
