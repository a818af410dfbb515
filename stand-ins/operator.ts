/**
 * A small client of the operators' and callers' interfaces for tests, the demo and benchmarks.
 */
import { randomUUID } from 'node:crypto';
import { Agent, fetch } from 'undici';
import type { HostRow, TeamRow, TimelineRow, WorkerRow } from '../src/operators/index.js';

interface Addressed {
  readonly url: string;
}

export interface ApplyResult {
  readonly status: number;
  readonly revision: number;
  /** The answer as text. */
  readonly detail: string;
}

export interface OperatorClient {
  /** Applies a catalogue over whatever is in force. */
  apply(text: string, host?: Addressed): Promise<ApplyResult>;
  /** Applies a catalogue on a base revision, and reports a conflict by its status. */
  applyAtRevision(baseRevision: number, text: string, host?: Addressed): Promise<ApplyResult>;
  hosts(host?: Addressed): Promise<readonly HostRow[]>;
  workers(host?: Addressed): Promise<readonly WorkerRow[]>;
  teams(host?: Addressed): Promise<readonly TeamRow[]>;
  timeline(request: string, host?: Addressed): Promise<readonly TimelineRow[]>;
  setFaults(host: Addressed, faults: readonly object[]): Promise<void>;
}

export function createOperatorClient(
  hosts: () => readonly Addressed[],
  key: string,
): OperatorClient {
  /** A host that leaves waits for its idle connections, so none is kept. */
  const withoutKeepAlive = new Agent({ pipelining: 0 });

  async function call(
    host: Addressed | undefined,
    method: string,
    path: string,
    body?: unknown,
  ): Promise<{ readonly status: number; readonly body: unknown }> {
    const target = host ?? hosts()[0];
    if (target === undefined) throw new Error('The cell has no host.');
    const answer = await fetch(target.url + path, {
      dispatcher: withoutKeepAlive,
      method,
      headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
      ...(body !== undefined && { body: JSON.stringify(body) }),
    });
    return { status: answer.status, body: await answer.json() };
  }

  async function rows<Row>(host: Addressed | undefined, path: string): Promise<readonly Row[]> {
    const { body } = await call(host, 'GET', path);
    return (body as { rows?: readonly Row[] }).rows ?? [];
  }

  async function applyAtRevision(
    baseRevision: number,
    text: string,
    host?: Addressed,
  ): Promise<ApplyResult> {
    const { status, body } = await call(host, 'PUT', '/v1/operator/configuration', {
      text,
      baseRevision,
      changeId: randomUUID(),
    });
    const { revision = 0 } = body as { revision?: number };
    return { status, revision, detail: JSON.stringify(body) };
  }

  return {
    applyAtRevision,
    apply: async (text, host) => {
      const { body } = await call(host, 'GET', '/v1/operator/configuration');
      return applyAtRevision((body as { revision: number }).revision, text, host);
    },
    hosts: (host) => rows(host, '/v1/operator/hosts'),
    workers: (host) => rows(host, '/v1/operator/workers'),
    teams: (host) => rows(host, '/v1/operator/teams'),
    timeline: (request, host) => rows(host, `/v1/operator/timeline?request=${request}`),
    setFaults: async (host, faults) => {
      await call(host, 'PUT', '/v1/faults', faults);
    },
  };
}
