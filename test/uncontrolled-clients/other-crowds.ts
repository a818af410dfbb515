/**
 * Crowds that read their responses byte by byte, and crowds of connections that come and go.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Crowd, CrowdTarget } from './crowd.js';

/** Pause after each byte that is read. */
const READ_PAUSE_MS = 20;
/** Time for the process to receive and answer what was sent. */
const SETTLE_MS = 3000;
/** A connection that is not closed by the process is closed after this time. */
const STAY_MS = 20;

/** Connects `count` clients that send a request and take its response from the kernel byte by byte. */
export async function gatherSlowReaders(
  { ip, port }: CrowdTarget,
  count: number,
  request: (index: number) => string,
): Promise<Crowd> {
  const sockets = Array.from({ length: count }, (_, index) => {
    const socket: Socket = connect({
      host: ip,
      port,
      onread: {
        buffer: Buffer.alloc(1),
        callback: () => {
          setTimeout(() => {
            socket.resume();
          }, READ_PAUSE_MS);
          return false;
        },
      },
    });
    socket.on('error', () => undefined);
    socket.write(request(index));
    return socket;
  });
  await sleep(SETTLE_MS);
  return {
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Connects `count` clients, `rounds` times in a row; half of them reset their connections. */
export async function gatherPassingCrowd(
  { ip, port }: CrowdTarget,
  rounds: number,
  count: number,
  request: string,
): Promise<Crowd> {
  for (let round = 0; round < rounds; round += 1) {
    const sockets = Array.from({ length: count }, () => {
      const socket = connect(port, ip);
      socket.on('error', () => undefined);
      socket.write(request);
      return socket;
    });
    await sleep(STAY_MS);
    sockets.forEach((socket, index) => {
      if (index % 2 === 0) socket.resetAndDestroy();
      else socket.destroy();
    });
  }
  return { close: () => undefined };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
