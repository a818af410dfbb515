/**
 * Requests to entry hosts. Another host is tried only while nothing can have been sent, or if the
 * request changes nothing.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildConnector, Client } from 'undici';

/** `unreachable` states that no host received the request. */
export interface HostRequestError {
  readonly kind: 'unreachable' | 'in-doubt';
  readonly detail: string;
}

export interface HostRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Longest wait for the answer; 0 waits without a limit. */
  readonly timeoutMs?: number;
}

export interface HostResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: Buffer;
}

export interface HostClient {
  call(call: HostRequest): Promise<Result<HostResponse, HostRequestError>>;
}

const CONNECT_TIMEOUT_MS = 3000;
const ANSWER_TIMEOUT_MS = 10_000;

/** Creates a client that tries the hosts in the given order. */
export function createHostClient(options: {
  readonly hosts: readonly string[];
  readonly key?: string | undefined;
}): HostClient {
  const authorization: Record<string, string> =
    options.key === undefined ? {} : { authorization: `Bearer ${options.key}` };
  return {
    call: async (call) => {
      const details: string[] = [];
      for (const host of options.hosts) {
        const headers = { ...authorization, ...call.headers };
        const answer = await send(host, { ...call, headers });
        if (answer.isOk()) return answer;
        if (answer.error.kind === 'in-doubt' && call.method !== 'GET') return answer;
        details.push(`${host}: ${answer.error.detail}`);
      }
      return err({ kind: 'unreachable', detail: details.join('; ') });
    },
  };
}

/** A connection is used for one request, so that a failure to connect means that nothing was sent. */
async function send(
  host: string,
  call: HostRequest,
): Promise<Result<HostResponse, HostRequestError>> {
  const connection = { established: false };
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const timeoutMs = call.timeoutMs ?? ANSWER_TIMEOUT_MS;
  const client = new Client(new URL(host).origin, {
    connect: (options, callback) => {
      connect(options, (...result) => {
        connection.established ||= result[0] === null;
        callback(...result);
      });
    },
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
  });
  try {
    const { method, path, headers, body } = call;
    const answer = await client.request({
      method,
      path,
      ...(headers !== undefined && { headers }),
      ...(body !== undefined && { body }),
    });
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    return ok({ status: answer.statusCode, headers: answer.headers, body: bytes });
  } catch (error) {
    return err({
      kind: connection.established ? 'in-doubt' : 'unreachable',
      detail: describe(error),
    });
  } finally {
    await client.destroy();
  }
}

function describe(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as NodeJS.ErrnoException;
  return error.message || (code ?? error.name);
}
