/**
 * The open connections of one host, at most one to each other host. The connection of a restarted peer
 * replaces the one of its previous process. If two hosts dial each other at the same time, both keep
 * the same one of the two links.
 */
import {
  createConnection,
  type Connection,
  type ConnectionContext,
  type AuthenticatedSocket,
} from './connection.js';
import type { Identity } from './handshake.js';
import type { Traffic } from './types.js';

/** Looks up, adds and closes connections by host. */
export interface ConnectionRegistry {
  readonly get: (host: string) => Connection | undefined;
  readonly connectedHosts: () => readonly string[];
  /** Whether a new link would be kept, as the first one to its host or in place of the current one. */
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
  const unclosed = new Set<Connection>();
  let closed = false;
  let endedTraffic: Traffic = { sentBytes: 0, receivedBytes: 0 };

  function acceptsLink(peer: Identity, dialler: string): boolean {
    if (closed) return false;
    const current = connections.get(peer.host);
    if (current === undefined) return true;
    if (current.peer.bootId !== peer.bootId) return true;
    // If both hosts dialled at the same time, both keep the link that the smaller id dialled.
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
    unclosed.add(connection);
    void connection.ended.then(() => {
      handleEnd(connection);
    });
    context.log.info('Opened a link.', { peer: host, boot: bootId, dialler: socket.dialler });
    previous?.terminate('a newer link replaces it');
    const restarted = previous !== undefined && previous.peer.bootId !== bootId;
    if (restarted) onChange(host, false);
    if (restarted || previous === undefined) onChange(host, true);
  }

  function handleEnd(connection: Connection): void {
    unclosed.delete(connection);
    endedTraffic = addTraffic(endedTraffic, connection.traffic());
    const { host } = connection.peer;
    if (connections.get(host) !== connection) return;
    connections.delete(host);
    context.log.info('A link ended.', { peer: host });
    onChange(host, false);
  }

  return {
    get: (host) => connections.get(host),
    connectedHosts: () => [...connections.keys()],
    acceptsLink,
    open,
    traffic: () =>
      [...unclosed].map((connection) => connection.traffic()).reduce(addTraffic, endedTraffic),
    close: async () => {
      closed = true;
      await Promise.all([...unclosed].map((connection) => connection.close()));
    },
  };
}

function addTraffic(left: Traffic, right: Traffic): Traffic {
  return {
    sentBytes: left.sentBytes + right.sentBytes,
    receivedBytes: left.receivedBytes + right.receivedBytes,
  };
}
