/**
 * The platform's host list over HTTP.
 */
import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import { z } from 'zod';
import type { Fleet } from '../model/index.js';
import { createRequestSender, describeError, type HttpResponse, type HttpOptions } from './http.js';
import type { HostList, StoreError } from './store.js';

const state = z.enum(['live', 'leaving']);
const amount = z.number().nonnegative();
const fleet = z.object({
  workers: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      rack: z.string(),
      url: z.string(),
      capacity: z.object({ processors: amount, memoryMb: amount, accelerators: amount }),
      slots: amount,
      connections: amount,
      state,
    }),
  ),
  hosts: z.array(
    z.object({
      id: z.string(),
      dataCentre: z.string(),
      url: z.string(),
      linkUrl: z.string(),
      state,
    }),
  ),
});

export function createHostList(options: HttpOptions): HostList {
  const send = createRequestSender(options);
  return {
    fetch: () =>
      ResultAsync.fromPromise(send({ method: 'GET', path: '/v1/hosts' }), failFetch).andThen(
        decodeFleet,
      ),
  };
}

function decodeFleet({ status, body }: HttpResponse): ResultAsync<Fleet, StoreError> {
  if (status !== 200) return errAsync(failFetch(`status ${String(status)}`));
  try {
    return okAsync(fleet.parse(JSON.parse(body)));
  } catch (error) {
    return errAsync(failFetch(error));
  }
}

function failFetch(error: unknown): StoreError {
  return { kind: 'unavailable', detail: `the host list failed: ${describeError(error)}` };
}
