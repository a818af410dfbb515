/**
 * Clients over raw connections that follow no rules: they stop within a request, send far more than is allowed or do not
 * read their responses. A crowd keeps its connections open until it is closed.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';

export interface CrowdTarget {
  readonly ip: string;
  readonly port: number;
}

export interface CrowdMember {
  /** What the client sends, piece by piece. */
  readonly pieces: Iterable<Buffer | string>;
  /** Whether the client reads responses; true by default. */
  readonly reads?: boolean;
  /** Pause after each piece, in milliseconds. */
  readonly pauseMs?: number;
}

export interface Crowd {
  close(): void;
}

/** A client whose connection takes no more bytes for this long has sent what it can. */
const STALL_MS = 1500;

/** Time for the process to accept and read what the kernel has taken for it. */
const SETTLE_MS = 1000;

/** Connects `count` clients and resolves when each has sent its pieces, was disconnected or is stalled. */
export async function gatherCrowd(
  target: CrowdTarget,
  count: number,
  member: (index: number) => CrowdMember,
): Promise<Crowd> {
  const sockets: Socket[] = [];
  await Promise.all(
    Array.from({ length: count }, async (_, index) => {
      const socket = connect(target.port, target.ip);
      sockets.push(socket);
      await send(socket, member(index));
    }),
  );
  await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
  return {
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

async function send(socket: Socket, { pieces, reads = true, pauseMs = 0 }: CrowdMember) {
  // A refused or closed connection is one of the allowed results.
  socket.on('error', () => undefined);
  if (reads) socket.resume();
  else socket.pause();
  await settles(socket, 'connect');
  for (const piece of pieces) {
    if (socket.destroyed) return;
    if (!socket.write(piece) && !(await settles(socket, 'drain'))) return;
    if (pauseMs > 0) await new Promise((resolve) => setTimeout(resolve, pauseMs));
  }
}

/** Resolves to true on the event, and to false when the connection is closed or stalled. */
function settles(socket: Socket, event: 'connect' | 'drain'): Promise<boolean> {
  return new Promise((resolve) => {
    const finish = (result: boolean) => () => {
      clearTimeout(timer);
      socket.off(event, succeed);
      socket.off('close', fail);
      resolve(result);
    };
    const succeed = finish(true);
    const fail = finish(false);
    const timer = setTimeout(fail, STALL_MS);
    socket.on(event, succeed);
    socket.on('close', fail);
  });
}

export function* repeat(piece: Buffer | string, times: number): Generator<Buffer | string> {
  for (let sent = 0; sent < times; sent += 1) yield piece;
}

/** Head of a submission without its empty line. */
export function submissionHead(key: string, index: number): string {
  const id = (0xf000 + index).toString(16).padStart(16, '0');
  return [
    `POST /lookups/${id} HTTP/1.1`,
    'Host: lawns.example',
    `Authorization: Bearer ${key}`,
    'Content-Type: application/json',
    '',
  ].join('\r\n');
}

export function chunk(size: number): Buffer {
  return Buffer.from(`${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`);
}

/** Head of a masked binary WebSocket frame with a length of 64 bits. */
export function frameHead(length: number): Buffer {
  const head = Buffer.alloc(14);
  head[0] = 0x82;
  head[1] = 0x80 | 127;
  head.writeBigUInt64BE(BigInt(length), 2);
  return head;
}

export const UPGRADE = [
  'GET / HTTP/1.1',
  'Host: host-1',
  'Connection: Upgrade',
  'Upgrade: websocket',
  'Sec-WebSocket-Version: 13',
  'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==',
  '\r\n',
].join('\r\n');
