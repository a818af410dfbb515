/**
 * The open connections of one host. A host has at most one connection to each other host: a new boot
 * of the peer replaces the connection of the old one, and of two links that both sides dialled at the
 * same time both keep the same one.
 */
import {
  createConnection,
  type Connection,
  type ConnectionContext,
  type AuthenticatedSocket,
} from './connection.js';
import type { Identity } from './handshake.js';
import type { Traffic } from './types.js';

/** The open connections, at most one per host. */
export interface ConnectionRegistry {
  readonly get: (host: string) => Connection | undefined;
  readonly connected: () => readonly string[];
  /** Whether a new link would be the first one or replace the present one. */
  readonly acceptsLink: (peer: Identity, dialler: string) => boolean;
  readonly open: (socket: AuthenticatedSocket) => void;
  readonly traffic: () => Traffic;
  readonly close: () => Promise<void>;
}

export function createConnectionRegistry(
  context: ConnectionContext,
  onChange: (host: string, up: boolean) => void,
): ConnectionRegistry {
  const connections = new Map<string, Connection>();
  const unfinished = new Set<Connection>();
  let closed = false;
  let past: Traffic = { sentBytes: 0, receivedBytes: 0 };

  function acceptsLink(peer: Identity, dialler: string): boolean {
    if (closed) return false;
    const current = connections.get(peer.host);
    if (current === undefined) return true;
    if (current.peer.bootId !== peer.bootId) return true;
    // If both sides dialled at the same time, both keep the link that the smaller id dialled.
    return dialler === current.dialler || dialler < current.dialler;
  }

  function open(socket: AuthenticatedSocket): void {
    if (!acceptsLink(socket.peer, socket.dialler)) {
      socket.socket.terminate();
      return;
    }
    const connection = createConnection(context, socket);
    const { host, bootId } = connection.peer;
    const previous = connections.get(host);
    connections.set(host, connection);
    unfinished.add(connection);
    void connection.ended.then(() => {
      finish(connection);
    });
    context.log.info('Opened a link.', { peer: host, boot: bootId, dialler: socket.dialler });
    previous?.terminate('a newer link replaces it');
    const restarted = previous !== undefined && previous.peer.bootId !== bootId;
    if (restarted) onChange(host, false);
    if (restarted || previous === undefined) onChange(host, true);
  }

  function finish(connection: Connection): void {
    unfinished.delete(connection);
    past = addTraffic(past, connection.traffic());
    const { host } = connection.peer;
    if (connections.get(host) !== connection) return;
    connections.delete(host);
    context.log.info('A link ended.', { peer: host });
    onChange(host, false);
  }

  return {
    get: (host) => connections.get(host),
    connected: () => [...connections.keys()],
    acceptsLink,
    open,
    traffic: () =>
      [...unfinished].map((connection) => connection.traffic()).reduce(addTraffic, past),
    close: async () => {
      closed = true;
      await Promise.all([...unfinished].map((connection) => connection.close()));
    },
  };
}

function addTraffic(left: Traffic, right: Traffic): Traffic {
  return {
    sentBytes: left.sentBytes + right.sentBytes,
    receivedBytes: left.receivedBytes + right.receivedBytes,
  };
}
