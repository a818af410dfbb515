/**
 * A TCP proxy on the loopback interface that harms connections on command: answers that are delayed, resets,
 * and bytes that are held up one way or both ways. What was held up is delivered when the harm ends, as a
 * network does that was partitioned for a while.
 */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';

/** `hold-requests` and `hold-answers` cut one way; `silence` cuts both. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'hold-requests' | 'hold-answers' | 'silence';

export interface Proxy {
  /** `ip:port`. */
  readonly address: string;
  fault: LinkFault;
  close(): Promise<void>;
}

/** Sixty times the usual answer of the store. */
const DELAY_MS = 240;
const HOLD_CHECK_MS = 20;

export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let fault: LinkFault = 'none';
  let closed = false;

  /** Forwards in order; each chunk waits until the harm of its direction is over. */
  function forward(from: Socket, to: Socket, held: readonly LinkFault[]) {
    let earlier = Promise.resolve();
    const wait = async () => {
      while (!closed && held.includes(fault)) await sleep(HOLD_CHECK_MS);
      if (fault === 'delay') await sleep(DELAY_MS / 2);
    };
    from.on('data', (chunk: Buffer) => {
      earlier = earlier.then(wait).then(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      earlier = earlier.then(wait).then(() => {
        to.end();
      });
    });
    from.on('error', () => {
      to.destroy();
    });
    from.on('close', () => {
      sockets.delete(from);
      void earlier.then(() => {
        to.destroy();
      });
    });
  }

  const server = createServer((caller) => {
    if (fault === 'reset') {
      caller.resetAndDestroy();
      return;
    }
    const upstream = connect(Number(port), host);
    sockets.add(caller).add(upstream);
    forward(caller, upstream, ['hold-requests', 'silence']);
    forward(upstream, caller, ['hold-answers', 'silence']);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
    get fault() {
      return fault;
    },
    set fault(next) {
      fault = next;
      if (next !== 'reset') return;
      for (const socket of sockets) socket.resetAndDestroy();
    },
    close: async () => {
      closed = true;
      for (const socket of sockets) socket.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
