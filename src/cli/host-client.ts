/**
 * HTTP client for entry hosts. It fails over to the next host only if the request cannot have
 * reached the previous one, or if it is a GET request and so changes nothing.
 */
import { err, ok, type Result } from 'neverthrow';
import { buildConnector, Client } from 'undici';

/** `unreachable`: no host received the request. `in-doubt`: a host may have received it. */
export interface HostRequestError {
  readonly kind: 'unreachable' | 'in-doubt';
  readonly detail: string;
}

export interface HostRequest {
  readonly method: 'GET' | 'PUT' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Longest wait for the response; 0 means no limit. */
  readonly timeoutMs?: number;
}

export interface HostResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: Buffer;
}

export interface HostClient {
  call(request: HostRequest): Promise<Result<HostResponse, HostRequestError>>;
}

const CONNECT_TIMEOUT_MS = 3000;
const RESPONSE_TIMEOUT_MS = 10_000;

/** Creates a client that tries the hosts in order. */
export function createHostClient(options: {
  readonly hosts: readonly string[];
  readonly key?: string | undefined;
}): HostClient {
  const authorization: Record<string, string> =
    options.key === undefined ? {} : { authorization: `Bearer ${options.key}` };
  return {
    call: async (request) => {
      const details: string[] = [];
      for (const host of options.hosts) {
        const headers = { ...authorization, ...request.headers };
        const response = await send(host, { ...request, headers });
        if (response.isOk()) return response;
        if (response.error.kind === 'in-doubt' && request.method !== 'GET') return response;
        details.push(`${host}: ${response.error.detail}`);
      }
      return err({ kind: 'unreachable', detail: details.join('; ') });
    },
  };
}

/** Uses one connection per request, so that a failure to connect means that nothing was sent. */
async function send(
  host: string,
  request: HostRequest,
): Promise<Result<HostResponse, HostRequestError>> {
  const connection = { established: false };
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const timeoutMs = request.timeoutMs ?? RESPONSE_TIMEOUT_MS;
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
    const { method, path, headers, body } = request;
    const response = await client.request({
      method,
      path,
      ...(headers !== undefined && { headers }),
      ...(body !== undefined && { body }),
    });
    const bytes = Buffer.from(await response.body.arrayBuffer());
    return ok({ status: response.statusCode, headers: response.headers, body: bytes });
  } catch (error) {
    return err({
      kind: connection.established ? 'in-doubt' : 'unreachable',
      detail: describeError(error),
    });
  } finally {
    await client.destroy();
  }
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as NodeJS.ErrnoException;
  return error.message || (code ?? error.name);
}
