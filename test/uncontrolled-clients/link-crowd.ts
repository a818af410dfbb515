/**
 * Clients of the port for links that claim to be hosts and then follow no rules.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { UPGRADE, type Crowd, type CrowdMember, type CrowdTarget } from './crowd.js';
import { hello } from './frames.js';

/** Time for the process to read the first message before other bytes arrive. */
const IDENTIFY_MS = 300;
/** A client whose connection takes no more bytes for this long has sent what it can. */
const STALL_MS = 1500;
/** Time for the process to read what the kernel has taken for it. */
const SETTLE_MS = 1000;

/** Identifies `count` links falsely, lets each send its pieces until it is done, closed or stalled, and keeps them open. */
export async function gatherLinks(
  { ip, port }: CrowdTarget,
  count: number,
  member: (index: number) => CrowdMember,
): Promise<Crowd> {
  const sockets = Array.from({ length: count }, (_, index) => {
    const socket = connect(port, ip);
    // A refused or closed connection is one of the allowed results.
    socket.on('error', () => undefined);
    socket.write(UPGRADE);
    socket.write(hello(index));
    return socket;
  });
  await delay(IDENTIFY_MS);
  await Promise.all(sockets.map((socket, index) => send(socket, member(index))));
  await delay(SETTLE_MS);
  return {
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

async function send(socket: Socket, { pieces, reads = true }: CrowdMember) {
  if (reads) socket.resume();
  for (const piece of pieces) {
    if (socket.destroyed) return;
    if (socket.write(piece)) continue;
    const drained = await once(socket, 'drain', { signal: AbortSignal.timeout(STALL_MS) }).catch(
      () => undefined,
    );
    if (drained === undefined) return;
  }
}
