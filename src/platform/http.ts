/**
 * Sends HTTP requests to the platform. Each exchange has a deadline, and the error of a failed one
 * shows whether the request may have been sent.
 */
import { Pool } from 'undici';

/** Address and limits of one platform service. */
export interface HttpOptions {
  readonly url: string;
  /** Longest time for one exchange, in milliseconds. */
  readonly timeoutMs?: number;
  /** Headers of every request, for example the data centre of the caller. */
  readonly headers?: Readonly<Record<string, string>>;
}

export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  /** Path and query below the address of the service. */
  readonly path: string;
  readonly body?: string;
  /** Time for which the service may hold the request before it responds; added to the timeout. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

export type SendRequest = (request: HttpRequest) => Promise<HttpResponse>;

// The service responds within milliseconds; a call that exceeds this timeout is treated as failed.
const DEFAULT_TIMEOUT_MS = 2000;
const CONNECT_SYSCALLS: ReadonlySet<string> = new Set(['connect', 'getaddrinfo']);
/** Error codes of undici for a connection that was not established and for an invalid request. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'UND_ERR_CONNECT_TIMEOUT',
  'UND_ERR_INVALID_ARG',
]);

/** Creates a function that sends requests to one service over pooled connections. */
export function createRequestSender(options: HttpOptions): SendRequest {
  const { url, timeoutMs = DEFAULT_TIMEOUT_MS, headers = {} } = options;
  const base = new URL(url);
  const prefix = base.pathname.replace(/\/$/, '');
  // Half of the deadline, so that a host that drops packets is reported as a connect timeout.
  const pool = new Pool(base.origin, { connect: { timeout: timeoutMs / 2 } });
  return async ({ method, path, body, waitMs = 0, signal }) => {
    const deadline = deadlineSignal(timeoutMs + waitMs, signal);
    try {
      const response = await pool.request({
        method,
        path: prefix + path,
        headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'text/plain' }) },
        body: body ?? null,
        signal: deadline.signal,
      });
      return { status: response.statusCode, body: await response.body.text() };
    } finally {
      deadline.clear();
    }
  };
}

/** Whether the exchange failed before any byte of the request was sent. */
export function wasNeverSent(error: unknown): boolean {
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(wasNeverSent);
  }
  if (!(error instanceof Error)) return false;
  const { code = '', syscall = '' } = error as NodeJS.ErrnoException;
  return UNSENT_CODES.has(code) || CONNECT_SYSCALLS.has(syscall);
}

export function describeError(error: unknown): string {
  return error instanceof Error && error.message !== '' ? error.message : String(error);
}

// Not AbortSignal.any, whose sources keep every derived signal alive: watches are long-lived.
function deadlineSignal(ms: number, signal: AbortSignal | undefined) {
  const controller = new AbortController();
  const timer = setTimeout(() => {
    controller.abort(new Error(`no complete answer within ${String(ms)} ms`));
  }, ms);
  const forward = () => {
    controller.abort(signal?.reason);
  };
  if (signal?.aborted === true) forward();
  signal?.addEventListener('abort', forward);
  return {
    signal: controller.signal,
    clear: () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', forward);
    },
  };
}
