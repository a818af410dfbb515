/**
 * Dials one peer and verifies that the host that answers is the one that was dialled.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { Host } from '../model/index.js';
import type { AuthenticatedSocket } from './connection.js';
import {
  createHandshakeRequest,
  handshakeRequestHeaders,
  verifyHandshakeResponse,
  type Identity,
} from './handshake.js';
import { MAX_MESSAGE_BYTES } from './message.js';
import type { LinkTls } from './types.js';

export interface DialOptions {
  readonly self: Identity;
  readonly secret: string;
  readonly tls: LinkTls | undefined;
  readonly handshakeTimeoutMs: number;
  readonly signal: AbortSignal;
}

/** Maximum length of an error response in the reported detail. */
const MAX_DETAIL_BYTES = 200;

/**
 * Calls `onOpen` in the same turn of the event loop in which the socket opens, so that no message
 * is missed.
 */
export function dial(
  host: Host,
  options: DialOptions,
  onOpen: (open: AuthenticatedSocket) => void,
): Promise<Result<void, string>> {
  const request = createHandshakeRequest(options.self, host.id, options.secret);
  return new Promise((resolve) => {
    let accepted: { readonly peer: Identity; readonly transport: Socket } | undefined;
    let socket: WebSocket;
    try {
      socket = openSocket(host, options, handshakeRequestHeaders(request));
    } catch (error) {
      resolve(err(String(error)));
      return;
    }
    const abort = () => {
      socket.terminate();
    };
    const finish = (result: Result<void, string>) => {
      options.signal.removeEventListener('abort', abort);
      resolve(result);
    };
    options.signal.addEventListener('abort', abort);
    socket.once('upgrade', (response) => {
      const peer = verifyHandshakeResponse(response.headers, request, options.secret);
      if (peer !== undefined) accepted = { peer, transport: response.socket };
    });
    socket.once('unexpected-response', (_, response: IncomingMessage) => {
      void formatErrorResponse(response).then((detail) => {
        socket.terminate();
        finish(err(detail));
      });
    });
    socket.on('error', (error) => {
      finish(err(error.message));
    });
    socket.once('open', () => {
      if (accepted === undefined) {
        socket.terminate();
        finish(err('The listener did not prove that it knows the cluster secret.'));
        return;
      }
      onOpen({ ...accepted, dialler: options.self.host, socket });
      finish(ok(undefined));
    });
  });
}

function openSocket(host: Host, options: DialOptions, headers: Record<string, string>): WebSocket {
  // Certificates are verified against the cluster's own certificate authority but not against the host
  // name, because hosts are addressed by IP address; the proof in the handshake covers the host id.
  const tls = options.tls && { ...options.tls, checkServerIdentity: () => undefined };
  return new WebSocket(host.linkUrl, {
    headers,
    handshakeTimeout: options.handshakeTimeoutMs,
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
    followRedirects: false,
    ...tls,
  });
}

async function formatErrorResponse(response: IncomingMessage): Promise<string> {
  const status = String(response.statusCode);
  let text = '';
  try {
    for await (const chunk of response) {
      text += String(chunk);
      if (text.length > MAX_DETAIL_BYTES) break;
    }
  } catch {
    // If the body cannot be read, the status alone is reported.
  }
  return `${status}: ${text.slice(0, MAX_DETAIL_BYTES)}`;
}
