/**
 * Limits the connections of one listener. It knows for each connection whether the client or the host is waited for, and
 * closes those whose client takes too long. When connections run out, the one whose client has been waited for longest is
 * closed, so that new clients can connect; a request in progress is never interrupted for that.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ByteBudget } from './byte-budget.js';
import type { LimitCause } from './limit-log.js';
import { paceAccepts } from './paced-accepts.js';
import { onConnection } from './tls-handshakes.js';
import { createTurnGate } from './turn-gate.js';
import type { TurnGate } from './turn-gate.js';

export interface ConnectionLimits {
  /** Connections without those that are established links. */
  readonly maxConnections: number;
  /** Established links. */
  readonly maxEstablished: number;
  readonly pipelinedRequests: number;
  readonly headerTimeoutMs: () => number;
  readonly bodyTimeoutMs: number;
  readonly responseTimeoutMs: number;
  readonly idleTimeoutMs: () => number;
  /** Causes that are reported for an unfinished header and for a connection on which no request comes. */
  readonly headerCause: LimitCause;
  readonly idleCause: LimitCause;
}

export interface ConnectionGuardOptions {
  readonly limits: ConnectionLimits;
  readonly budget: ByteBudget;
  readonly record: (cause: LimitCause) => void;
  /** Shared by the listeners of a host. */
  readonly turn?: TurnGate;
  readonly now?: () => number;
}

/** Returns why an established link has to be closed, if it has to. */
export type LinkCheck = (now: number) => LimitCause | undefined;

export interface ConnectionGuard {
  readonly connections: number;
  /** Whether the request may be handled; otherwise its connection is closed. */
  admit(request: IncomingMessage, response: ServerResponse): boolean;
  /** Charges a response that was written; closes its connection if there is no room for what the client has not read. */
  charge(request: IncomingMessage): void;
  /** Counts the connection as a link that has identified itself; returns false if there are too many. */
  establish(socket: Socket): boolean;
  /** Adds a check of the connection to the sweep. */
  watch(socket: Socket, check: LinkCheck): void;
  close(socket: Socket, cause: LimitCause): void;
  /** Closes connections whose client takes too long; called periodically. */
  sweep(): void;
}

interface Connection {
  readonly socket: Socket;
  /** Start of the present wait for a request. */
  idleSince: number;
  /** Bytes read when the wait for a request began; more of them are an unfinished header. */
  bytesWhenIdle: number;
  headerSince: number | undefined;
  /** The last request, while its body or its response is outstanding. */
  request: IncomingMessage | undefined;
  requestedAt: number;
  /** Responses that the client does not have yet. */
  readonly responses: Set<ServerResponse>;
  unreadSince: number | undefined;
  /** Unread bytes that are charged to the budget. */
  charged: number;
  established: boolean;
  check: LinkCheck | undefined;
}

/** What is waited for on a connection, since when, and for how long at most. */
interface Wait {
  readonly cause: LimitCause;
  readonly since: number;
  readonly timeoutMs: number;
}

export function createConnectionGuard(
  server: Server,
  options: ConnectionGuardOptions,
): ConnectionGuard {
  const { limits, budget, record, now = () => performance.now() } = options;
  const { turn = createTurnGate() } = options;
  const connections = new Map<Socket, Connection>();
  const pace = paceAccepts();
  let established = 0;

  onConnection(server, {
    add: (socket) => {
      const connection = open(socket);
      if (connections.size - established > limits.maxConnections) makeRoom(connection);
    },
    replace: (former, socket) => {
      const handshake = connections.get(former);
      if (handshake === undefined) {
        socket.destroy();
        return;
      }
      forget(handshake);
      open(socket);
    },
    start: (socket) => {
      if (socket.destroyed) return;
      turn.add(socket);
      pace(socket);
    },
  });

  function open(socket: Socket): Connection {
    const connection = openConnection(socket, now());
    connections.set(socket, connection);
    socket.once('close', () => {
      forget(connection);
    });
    return connection;
  }

  function forget(connection: Connection) {
    if (!connections.delete(connection.socket)) return;
    turn.remove(connection.socket);
    if (connection.established) established -= 1;
    budget.release(connection.charged);
    connection.charged = 0;
  }

  function close(connection: Connection, cause: LimitCause) {
    if (!connections.has(connection.socket)) return;
    record(cause);
    forget(connection);
    connection.socket.destroy();
  }

  /** Closes a connection whose requests or responses stay in memory until the turn of the event loop ends. */
  function refuse(connection: Connection, cause: LimitCause): false {
    close(connection, cause);
    turn.record();
    return false;
  }

  function makeRoom(latest: Connection) {
    const at = now();
    let longest: Connection | undefined;
    let since = Infinity;
    for (const connection of connections.values()) {
      if (connection === latest || connection.established) continue;
      const wait = describeWait(connection, limits, at);
      if (wait === undefined || wait.since >= since) continue;
      longest = connection;
      ({ since } = wait);
    }
    if (longest === undefined) close(latest, 'connections-exhausted');
    else close(longest, 'connection-evicted');
  }

  function chargeUnread(connection: Connection): boolean {
    const unread = countUnread(connection);
    if (unread > connection.charged && !budget.reserve(unread - connection.charged)) return false;
    if (unread < connection.charged) budget.release(connection.charged - unread);
    connection.charged = unread;
    return true;
  }

  function admit(request: IncomingMessage, response: ServerResponse): boolean {
    const connection = connections.get(request.socket);
    // The parser still reports the requests that it has read when their connection is closed.
    if (connection === undefined) return false;
    connection.responses.add(response);
    if (connection.responses.size > limits.pipelinedRequests) {
      return refuse(connection, 'pipelined-requests');
    }
    if (!chargeUnread(connection)) {
      return refuse(connection, 'buffer-full');
    }
    connection.request = request;
    connection.requestedAt = now();
    response.once('close', () => {
      connection.responses.delete(response);
      if (connection.responses.size === 0) beginIdle(connection, now());
    });
    return true;
  }

  // Without a listener the server answers such requests by itself, and no limit would apply to them.
  server.on('checkExpectation', (request: IncomingMessage, response: ServerResponse) => {
    if (admit(request, response)) response.writeHead(417, { connection: 'close' }).end();
  });

  function checkConnection(connection: Connection, at: number): LimitCause | undefined {
    const cause = connection.check?.(at);
    if (cause !== undefined || connection.established) return cause;
    if (!chargeUnread(connection)) return 'buffer-full';
    const wait = describeWait(connection, limits, at);
    return wait !== undefined && at - wait.since > wait.timeoutMs ? wait.cause : undefined;
  }

  return {
    get connections() {
      return connections.size;
    },
    admit,
    charge: ({ socket }) => {
      const connection = connections.get(socket);
      if (connection !== undefined && !chargeUnread(connection)) refuse(connection, 'buffer-full');
    },
    establish: (socket) => {
      const connection = connections.get(socket);
      if (connection === undefined) return false;
      if (connection.established) return true;
      if (established >= limits.maxEstablished) {
        close(connection, 'connections-exhausted');
        return false;
      }
      connection.established = true;
      turn.remove(socket);
      established += 1;
      return true;
    },
    watch: (socket, check) => {
      const connection = connections.get(socket);
      if (connection !== undefined) connection.check = check;
    },
    close: (socket, cause) => {
      const connection = connections.get(socket);
      if (connection !== undefined) close(connection, cause);
    },
    sweep: () => {
      const at = now();
      for (const connection of connections.values()) {
        const cause = checkConnection(connection, at);
        if (cause !== undefined) close(connection, cause);
      }
    },
  };
}

function openConnection(socket: Socket, at: number): Connection {
  return {
    socket,
    idleSince: at,
    bytesWhenIdle: 0,
    headerSince: undefined,
    request: undefined,
    requestedAt: at,
    responses: new Set(),
    unreadSince: undefined,
    charged: 0,
    established: false,
    check: undefined,
  };
}

/** Responses that wait for an earlier one are not on the socket yet. */
function countUnread({ socket, responses }: Connection): number {
  let bytes = socket.writableLength;
  for (const response of responses) {
    if (response.socket === null) bytes += response.writableLength;
  }
  return bytes;
}

function beginIdle(connection: Connection, at: number) {
  connection.idleSince = at;
  connection.bytesWhenIdle = connection.socket.bytesRead;
  connection.headerSince = undefined;
  connection.unreadSince = undefined;
  if (connection.request?.complete === true) connection.request = undefined;
}

/** Returns what the client is waited for; undefined if the host is waited for. */
function describeWait(
  connection: Connection,
  limits: ConnectionLimits,
  at: number,
): Wait | undefined {
  const { socket, request } = connection;
  if (request?.complete === false) {
    return {
      cause: 'body-timeout',
      since: connection.requestedAt,
      timeoutMs: limits.bodyTimeoutMs,
    };
  }
  if (connection.responses.size > 0) return describeUnread(connection, limits, at);
  // The rest of a refused body came after its response.
  if (request !== undefined) beginIdle(connection, at);
  if (socket.bytesRead > connection.bytesWhenIdle) {
    connection.headerSince ??= at;
    const timeoutMs = limits.headerTimeoutMs();
    return { cause: limits.headerCause, since: connection.headerSince, timeoutMs };
  }
  const timeoutMs = limits.idleTimeoutMs();
  return { cause: limits.idleCause, since: connection.idleSince, timeoutMs };
}

function describeUnread(
  connection: Connection,
  { responseTimeoutMs }: ConnectionLimits,
  at: number,
): Wait | undefined {
  if (connection.socket.writableLength === 0) {
    connection.unreadSince = undefined;
    return undefined;
  }
  connection.unreadSince ??= at;
  return {
    cause: 'response-timeout',
    since: connection.unreadSince,
    timeoutMs: responseTimeoutMs,
  };
}
