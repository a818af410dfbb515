/**
 * A TCP proxy on the loopback interface that injects link faults: delays, connection resets, and traffic that is
 * held in one or both directions. Held data is delivered when the fault ends, as after a temporary network partition.
 */
import { createServer, connect, type AddressInfo, type Socket } from 'node:net';

/** `hold-requests` and `hold-answers` hold one direction; `silence` holds both. */
export type LinkFault = 'none' | 'delay' | 'reset' | 'hold-requests' | 'hold-answers' | 'silence';

export interface Proxy {
  /** `ip:port`. */
  readonly address: string;
  fault: LinkFault;
  close(): Promise<void>;
}

/** Added to a round trip: 60 times the usual response time of the store. */
const DELAY_MS = 240;
const HOLD_POLL_MS = 20;

export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let fault: LinkFault = 'none';
  let closed = false;

  /** Forwards in order; each chunk waits until no fault holds its direction. */
  function forward(from: Socket, to: Socket, holdingFaults: readonly LinkFault[]) {
    let previousWrite = Promise.resolve();
    const waitForFault = async () => {
      while (!closed && holdingFaults.includes(fault)) await sleep(HOLD_POLL_MS);
      if (fault === 'delay') await sleep(DELAY_MS / 2);
    };
    from.on('data', (chunk: Buffer) => {
      previousWrite = previousWrite.then(waitForFault).then(() => {
        if (!to.destroyed) to.write(chunk);
      });
    });
    from.on('end', () => {
      previousWrite = previousWrite.then(waitForFault).then(() => {
        to.end();
      });
    });
    from.on('error', () => {
      to.destroy();
    });
    from.on('close', () => {
      sockets.delete(from);
      void previousWrite.then(() => {
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
