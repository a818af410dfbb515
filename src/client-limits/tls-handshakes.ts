/**
 * Reports the connections of a server from their start. A TLS server announces a connection only after its TLS handshake, with
 * another socket; until then the plain socket stands for it, so that unfinished handshakes are counted and timed too.
 */
import type { Server, Socket } from 'node:net';
import { Server as TlsServer } from 'node:tls';

export interface ConnectionObserver {
  /** Called with each new connection. */
  add(socket: Socket): void;
  /** Called after the TLS handshake with the socket that requests name, in place of the plain one. */
  replace(former: Socket, socket: Socket): void;
  /** Called before the first request of a connection is read. */
  start(socket: Socket): void;
}

export function onConnection(server: Server, observer: ConnectionObserver): void {
  if (!(server instanceof TlsServer)) {
    server.on('connection', (socket: Socket) => {
      observer.add(socket);
      observer.start(socket);
    });
    return;
  }
  /** Plain sockets in the TLS handshake by the address of the client, the only thing that both sockets have in common. */
  const handshakes = new Map<string, Socket>();
  server.on('connection', (socket: Socket) => {
    const client = describeClient(socket);
    handshakes.set(client, socket);
    socket.once('close', () => {
      if (handshakes.get(client) === socket) handshakes.delete(client);
    });
    observer.add(socket);
  });
  server.on('secureConnection', (socket: Socket) => {
    const client = describeClient(socket);
    const former = handshakes.get(client);
    handshakes.delete(client);
    if (former === undefined) {
      socket.destroy();
      return;
    }
    observer.replace(former, socket);
    observer.start(socket);
  });
}

function describeClient({ remoteAddress = '', remotePort = 0 }: Socket): string {
  return `${remoteAddress} ${String(remotePort)}`;
}
