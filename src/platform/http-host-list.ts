/**
 * HTTP client of the platform's host list.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { z } from 'zod';
import type { Fleet } from '../model/index.js';
import { createRequestSender, describeError, type HttpResponse, type HttpOptions } from './http.js';
import type { HostList, StoreError } from './store.js';

const stateSchema = z.enum(['live', 'leaving']);
const amountSchema = z.number().nonnegative();
const fleetSchema = z.object({
  workers: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      rack: z.string(),
      url: z.string(),
      capacity: z.object({
        processors: amountSchema,
        memoryMb: amountSchema,
        accelerators: amountSchema,
      }),
      slots: amountSchema,
      connections: amountSchema,
      state: stateSchema,
    }),
  ),
  hosts: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      url: z.string(),
      linkUrl: z.string(),
      state: stateSchema,
    }),
  ),
});

export function createHostList(options: HttpOptions): HostList {
  const send = createRequestSender(options);
  return {
    fetch: () =>
      ResultAsync.fromPromise(send({ method: 'GET', path: '/v1/hosts' }), toFetchError).andThen(
        decodeFleet,
      ),
  };
}

function decodeFleet({ status, body }: HttpResponse): ResultAsync<Fleet, StoreError> {
  if (status !== 200) return errAsync(toFetchError(`status ${String(status)}`));
  try {
    return okAsync(fleetSchema.parse(JSON.parse(body)));
  } catch (error) {
    return errAsync(toFetchError(error));
  }
}

function toFetchError(error: unknown): StoreError {
  return {
    kind: 'unavailable',
    detail: `the host list failed: ${describeError(error)}`,
  };
}
