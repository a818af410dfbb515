/**
 * HTTP client of the platform's key-value service.
 *
 * The service is assumed to answer 503 or a 4xx status only if a write had no effect. Any other
 * failure leaves a write in doubt if the request may have been sent.
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

/** Longest wait of a watch call. A shorter one needs more calls, and each call is charged. */
const WATCH_WAIT_MS = 30_000;
const CONFLICT_STATUS = 409;
const UNAVAILABLE_STATUS = 503;

const versionedValueSchema = z.object({ value: z.string(), version: z.number() });
const writtenSchema = z.object({ version: z.number() });
const listingSchema = z.object({
  items: z.array(versionedValueSchema.extend({ key: z.string() })),
});

type AccessMode = 'read' | 'write';
/** Body decoders by expected status; each throws if the body does not match the status. */
type Decoders<T> = Readonly<Record<number, (body: string) => T>>;

export function createStore(options: HttpOptions): Store {
  const send = createRequestSender(options);
  let calls = 0;

  function call<T>(request: HttpRequest, access: AccessMode, decoders: Decoders<T>) {
    calls += 1;
    return ResultAsync.fromPromise(send(request), (error) => toCallError(error, access)).andThen(
      (response) => decodeResponse(response, access, decoders),
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
        200: (body) => writtenSchema.parse(JSON.parse(body)).version,
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
  200: (body) => versionedValueSchema.parse(JSON.parse(body)),
  404: () => undefined,
};

function pathOf(key: string): string {
  return `/v1/keys/${encodeURIComponent(key)}`;
}

function decodeListing(body: string): ReadonlyMap<string, VersionedValue> {
  const { items } = listingSchema.parse(JSON.parse(body));
  return new Map(items.map(({ key, value, version }) => [key, { value, version }]));
}

function decodeResponse<T>(
  response: HttpResponse,
  access: AccessMode,
  decoders: Decoders<T>,
): ResultAsync<T, StoreError> {
  const { status, body } = response;
  const decode = decoders[status];
  if (decode === undefined) return errAsync(toStatusError(response, access));
  try {
    return okAsync(decode(body));
  } catch (error) {
    return errAsync(toCallError(error, access));
  }
}

function toStatusError({ status, body }: HttpResponse, access: AccessMode): StoreError {
  const detail = `the store answered ${String(status)}: ${body.slice(0, 200)}`;
  if (access === 'write' && status === CONFLICT_STATUS) return { kind: 'conflict', detail };
  const hadNoEffect = status === UNAVAILABLE_STATUS || (status >= 400 && status < 500);
  return { kind: access === 'read' || hadNoEffect ? 'unavailable' : 'in-doubt', detail };
}

function toCallError(error: unknown, access: AccessMode): StoreError {
  const kind = access === 'read' || wasNeverSent(error) ? 'unavailable' : 'in-doubt';
  return { kind, detail: `the call to the store failed: ${describeError(error)}` };
}
