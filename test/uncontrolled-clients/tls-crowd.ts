/**
 * Clients of a port with TLS that follow no rules: they stop within the TLS handshake or after it, renegotiate, send garbage
 * or come and go.
 */
import { connect as connectPlain } from 'node:net';
import type { Socket } from 'node:net';
import { connect, type ConnectionOptions, type TLSSocket } from 'node:tls';
import { setTimeout as delay } from 'node:timers/promises';
import { TEST_CERTIFICATE, TEST_KEY } from '../links/certificate.js';
import type { Crowd, CrowdTarget } from './crowd.js';

/** Time for the process to accept and read what the kernel has taken for it. */
const SETTLE_MS = 1000;
const HANDSHAKE_TIMEOUT_MS = 3000;
const RENEGOTIATION_TIMEOUT_MS = 1000;
/** A record that announces a ClientHello of 512 bytes, and the first of them. */
export const FIRST_BYTES = Buffer.from([0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00, 0x01, 0xfc]);

/** Connects `count` clients at the same time, calls `act` with each, and keeps their connections open. */
export async function gatherSockets<T extends Socket>(
  count: number,
  open: (index: number) => T,
  act: (socket: T) => Promise<void>,
): Promise<Crowd> {
  const sockets = Array.from({ length: count }, (_, index) => open(index));
  await Promise.all(sockets.map(act));
  await delay(SETTLE_MS);
  return {
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

export function openPlain({ ip, port }: CrowdTarget): Socket {
  // A refused or closed connection is one of the allowed results.
  return connectPlain(port, ip).on('error', () => undefined);
}

export function openSecure({ ip, port }: CrowdTarget, options: ConnectionOptions = {}): TLSSocket {
  const credentials = { key: TEST_KEY, cert: TEST_CERTIFICATE, ca: TEST_CERTIFICATE };
  const socket = connect({
    port,
    host: ip,
    ...credentials,
    checkServerIdentity: () => undefined,
    ...options,
  });
  return socket.on('error', () => undefined);
}

/** Resolves on the event, at the end of the connection, or after a timeout. */
export function settles(socket: Socket, event: string): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    const timer = setTimeout(finish, HANDSHAKE_TIMEOUT_MS);
    socket.once(event, finish);
    socket.once('close', finish);
  });
}

/** Renegotiates until the server ends the connection, or `times` times. */
export async function renegotiate(socket: TLSSocket, times: number): Promise<void> {
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => {
      resolve();
    });
  });
  for (let done = 0; done < times && !socket.destroyed; done += 1) {
    const renegotiated = new Promise<void>((resolve) => {
      socket.renegotiate({ rejectUnauthorized: false }, () => {
        resolve();
      });
    });
    await Promise.race([closed, renegotiated, delay(RENEGOTIATION_TIMEOUT_MS)]);
  }
}
