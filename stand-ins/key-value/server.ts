/**
 * HTTP interface of the key-value stand-in.
 */
import { z } from 'zod';
import { createFaultInjector, type FaultInjector } from '../faults.js';
import {
  dropConnection,
  listen,
  parseJson,
  type HandlerResult,
  type Call,
  type Listener,
  type Route,
} from '../http.js';
import { createValueStore, type ValueStore, type Write } from './value-store.js';

export interface KeyValueOptions {
  readonly address?: string;
  readonly port?: number;
}

/** Maximum value size of the platform's key-value service. */
const MAX_VALUE_BYTES = 1024 * 1024;
const MAX_WAIT_MS = 30_000;

const version = z.coerce.number().int().nonnegative();
const leaseRequest = z.object({ leaseMs: z.number().positive() });

export async function startKeyValueServer(options: KeyValueOptions = {}): Promise<Listener> {
  const values = createValueStore();
  const faultInjector = createFaultInjector();
  const routes = faultInjector.wrapRoutes([
    ...createReadRoutes(values, faultInjector),
    ...createWriteRoutes(values, faultInjector),
  ]);
  const listener = await listen({ ...options, routes });
  return {
    url: listener.url,
    close: async () => {
      values.close();
      await listener.close();
    },
  };
}

function createReadRoutes(values: ValueStore, faultInjector: FaultInjector): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/keys',
      handle: ({ query }) => ({
        status: 200,
        body: { items: values.list(query.get('prefix') ?? '') },
      }),
    },
    {
      method: 'GET',
      path: '/v1/keys/:key',
      handle: (call) =>
        call.query.has('since') ? watchKey(values, faultInjector, call) : readKey(values, call),
    },
  ];
}

function createWriteRoutes(values: ValueStore, faultInjector: FaultInjector): readonly Route[] {
  const respond = (call: Call, reply: HandlerResult) =>
    faultInjector.faults().loseAnswers ? dropConnection(call) : reply;
  const writeValue = (value: (call: Call) => string | undefined) => (call: Call) =>
    respond(call, writeKey(values, call, value(call)));
  return [
    { method: 'PUT', path: '/v1/keys/:key', handle: writeValue(({ body }) => body.toString()) },
    { method: 'DELETE', path: '/v1/keys/:key', handle: writeValue(() => undefined) },
    {
      method: 'POST',
      path: '/v1/leases',
      handle: (call) => {
        const lease = values.grantLease(parseJson(call, leaseRequest).leaseMs);
        return respond(call, { status: 200, body: { lease } });
      },
    },
    {
      method: 'POST',
      path: '/v1/leases/:lease/renew',
      handle: (call) => {
        const renewed = values.renewLease(call.parameters.lease ?? '');
        return respond(call, { status: renewed ? 200 : 404, body: {} });
      },
    },
    {
      method: 'DELETE',
      path: '/v1/leases/:lease',
      handle: (call) => {
        values.endLease(call.parameters.lease ?? '');
        return respond(call, { status: 200, body: {} });
      },
    },
  ];
}

function readKey(values: ValueStore, { parameters }: Call): HandlerResult {
  const found = values.get(parameters.key ?? '');
  return found === undefined ? { status: 404, body: {} } : { status: 200, body: found };
}

async function watchKey(
  values: ValueStore,
  faultInjector: FaultInjector,
  call: Call,
): Promise<HandlerResult> {
  const since = version.parse(call.query.get('since'));
  const waitMs = Math.min(version.parse(call.query.get('waitMs') ?? 0), MAX_WAIT_MS);
  const result = await values.waitForChange(call.parameters.key ?? '', since, waitMs);
  const refused = faultInjector.check(call);
  if (refused !== undefined) return refused;
  return result === 'same' ? { status: 204 } : readKey(values, call);
}

function writeKey(values: ValueStore, call: Call, value: string | undefined): HandlerResult {
  if (call.body.byteLength > MAX_VALUE_BYTES) {
    return { status: 413, body: { error: `the value exceeds ${String(MAX_VALUE_BYTES)} bytes` } };
  }
  const result = values.write(parseWrite(call, value));
  if (result.kind === 'written') return { status: 200, body: { version: result.version } };
  if (result.kind === 'conflict') return { status: 409, body: { version: result.version } };
  return { status: 404, body: { error: 'the lease has ended' } };
}

function parseWrite({ parameters, query }: Call, value: string | undefined): Write {
  const lease = query.get('lease');
  return {
    key: parameters.key ?? '',
    expectedVersion: version.parse(query.get('version')),
    value,
    ...(lease === null ? {} : { lease }),
  };
}
