/**
 * Client of the operators' HTTP API.
 */
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import type { Finding } from '../catalogue/index.js';
import type { RolloutRow, Table } from '../operators/index.js';
import { EXIT, type Failure } from './exit-code.js';
import type { HostResponse, HostClient } from './host-client.js';
import { describeProblem, parseJson, parseProblem } from './problem-document.js';

const configurationSchema = z.object({
  revision: z.number(),
  changeId: z.string(),
  text: z.string(),
});

const rolloutSchema = z.object({
  hosts: z.array(z.object({ host: z.string(), revision: z.number(), reachable: z.boolean() })),
});

const appliedSchema = rolloutSchema.extend({ revision: z.number() });

const tableSchema = z.object({ rows: z.array(z.unknown()), unreachable: z.array(z.string()) });

export type ActiveConfiguration = z.output<typeof configurationSchema>;

export interface ChangeRequest {
  readonly text: string;
  readonly baseRevision: number;
  readonly changeId: string;
}

/** Result of one attempt to change the configuration; if `in-doubt`, it may have taken effect. */
export type ChangeAttemptResult =
  | { readonly kind: 'applied'; readonly revision: number; readonly hosts: readonly RolloutRow[] }
  | { readonly kind: 'conflict'; readonly revision: number | undefined }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'refused' | 'unreachable'; readonly detail: string }
  | { readonly kind: 'in-doubt'; readonly detail: string };

export interface OperatorClient {
  configuration(): Promise<Result<ActiveConfiguration, Failure>>;
  change(change: ChangeRequest): Promise<ChangeAttemptResult>;
  rollout(revision: number): Promise<Result<readonly RolloutRow[], Failure>>;
  table(path: string): Promise<Result<Table<unknown>, Failure>>;
}

export function createOperatorClient(client: HostClient): OperatorClient {
  async function read<T>(path: string, schema: z.ZodType<T>): Promise<Result<T, Failure>> {
    const response = await client.call({ method: 'GET', path: `/v1/operator/${path}` });
    if (response.isErr()) {
      return err({
        exit: EXIT.unreachable,
        message: `no host responded: ${response.error.detail}`,
      });
    }
    if (response.value.status !== 200) {
      return err({ exit: EXIT.refused, message: describeProblem(response.value) });
    }
    const parsed = schema.safeParse(parseJson(response.value));
    if (parsed.success) return ok(parsed.data);
    const message = `the response to ${path} is not from an entry host; check --host`;
    return err({ exit: EXIT.refused, message });
  }

  return {
    configuration: () => read('configuration', configurationSchema),
    rollout: async (revision) =>
      (await read(`rollout?revision=${String(revision)}`, rolloutSchema)).map(({ hosts }) => hosts),
    table: (path) => read(path, tableSchema),
    change: async (change) => {
      const response = await client.call({
        method: 'PUT',
        path: '/v1/operator/configuration',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(change),
      });
      return response.match(parseChangeResponse, ({ kind, detail }): ChangeAttemptResult => ({
        kind,
        detail,
      }));
    },
  };
}

function parseChangeResponse(response: HostResponse): ChangeAttemptResult {
  if (response.status === 200) {
    const applied = appliedSchema.safeParse(parseJson(response));
    if (applied.success) return { kind: 'applied', ...applied.data };
    return { kind: 'in-doubt', detail: 'the response is not from an entry host' };
  }
  const { kind, revision, findings = [] } = parseProblem(response);
  const detail = describeProblem(response);
  if (response.status === 409) return { kind: 'conflict', revision };
  if (response.status === 422) return { kind: 'invalid', findings };
  // A 5xx response proves that the change was not applied only if an entry host wrote the document.
  if (response.status < 500 || kind === 'unavailable') return { kind: 'refused', detail };
  return { kind: 'in-doubt', detail };
}
