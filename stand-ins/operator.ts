/**
 * Small client for the operator API and for fault injection, for tests, the demo and benchmarks.
 */
import { randomUUID } from 'node:crypto';
import { Agent, fetch } from 'undici';
import type { HostRow, TeamRow, TimelineRow, WorkerRow } from '../src/operators/index.js';

interface HostAddress {
  readonly url: string;
}

export interface ApplyResult {
  readonly status: number;
  readonly revision: number;
  /** The response body as JSON text. */
  readonly detail: string;
}

export interface OperatorClient {
  /** Applies a catalogue on top of the revision that is current at the host. */
  apply(text: string, host?: HostAddress): Promise<ApplyResult>;
  /** Applies a catalogue on the given base revision; a conflict shows in the status. */
  applyAtRevision(baseRevision: number, text: string, host?: HostAddress): Promise<ApplyResult>;
  hosts(host?: HostAddress): Promise<readonly HostRow[]>;
  workers(host?: HostAddress): Promise<readonly WorkerRow[]>;
  teams(host?: HostAddress): Promise<readonly TeamRow[]>;
  timeline(request: string, host?: HostAddress): Promise<readonly TimelineRow[]>;
  setFaults(host: HostAddress, faults: readonly object[]): Promise<void>;
}

export function createOperatorClient(
  hosts: () => readonly HostAddress[],
  key: string,
): OperatorClient {
  /** Keeps no idle connection open, because a host that shuts down waits for these. */
  const withoutKeepAlive = new Agent({ pipelining: 0 });

  async function call(
    host: HostAddress | undefined,
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

  async function fetchRows<Row>(
    host: HostAddress | undefined,
    path: string,
  ): Promise<readonly Row[]> {
    const { body } = await call(host, 'GET', path);
    return (body as { rows?: readonly Row[] }).rows ?? [];
  }

  async function applyAtRevision(
    baseRevision: number,
    text: string,
    host?: HostAddress,
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
    hosts: (host) => fetchRows(host, '/v1/operator/hosts'),
    workers: (host) => fetchRows(host, '/v1/operator/workers'),
    teams: (host) => fetchRows(host, '/v1/operator/teams'),
    timeline: (request, host) => fetchRows(host, `/v1/operator/timeline?request=${request}`),
    setFaults: async (host, faults) => {
      await call(host, 'PUT', '/v1/faults', faults);
    },
  };
}
