/**
 * The limits of one host: the budget that all listeners share, a guard for each listener, one sweep for all of them, and
 * the count of what was refused or closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { WebSocket } from 'ws';
import { createByteBudget } from './byte-budget.js';
import type { ByteBudget } from './byte-budget.js';
import { createConnectionGuard } from './connection-guard.js';
import type { ConnectionGuard, ConnectionLimits } from './connection-guard.js';
import { createFragmentedBodies } from './fragmented-bodies.js';
import type { FragmentedBodies } from './fragmented-bodies.js';
import { createLimitLog } from './limit-log.js';
import type { LimitCause, LimitReport } from './limit-log.js';
import type { ClientLimits } from './limits.js';
import { createTurnGate } from './turn-gate.js';
import { guardMessages } from './message-guard.js';
import type { MessageGuard } from './message-guard.js';

/** Limits of the configuration in force, in milliseconds. */
export interface ConfiguredTimeouts {
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Receives what the limits do, for the log and the metrics of the program. */
export interface LimitObserver {
  /** Counts a refused request or a closed connection. */
  count(listener: string, cause: LimitCause): void;
  /** Writes a log line; called at a bounded rate. */
  write(report: LimitReport): void;
  /** Records the number of open connections of a listener. */
  recordConnections(listener: string, connections: number): void;
  /** Records the used part of the budget. */
  recordBufferBytes(bytes: number): void;
}

export interface ClientGuardOptions {
  readonly limits: ClientLimits;
  readonly configured: () => ConfiguredTimeouts;
  readonly observer: LimitObserver;
}

export interface LinkGuardOptions {
  readonly socket: Socket;
  readonly webSocket: WebSocket;
  readonly maxMessageBytes: number;
}

/** Guard of the listener for links between hosts. */
export interface LinkListenerGuard {
  /** Whether a request without an upgrade may be answered; otherwise its connection is closed. */
  admit(request: IncomingMessage, response: ServerResponse): boolean;
  watch(link: LinkGuardOptions): MessageGuard;
  /** Counts the connection as a link that has identified itself; returns false if there are too many. */
  establish(socket: Socket): boolean;
}

export interface ClientGuard {
  readonly budget: ByteBudget;
  /** Small chunks from which on a body needs one of the places for fragmented bodies. */
  readonly maxSmallChunks: number;
  readonly fragmentedBodies: FragmentedBodies;
  record(listener: string, cause: LimitCause): void;
  /** Limits the connections of a listener for HTTP requests. */
  protect(server: Server, listener: string, maxConnections: number): ConnectionGuard;
  /** Limits the connections of the listener for links between hosts. */
  protectLinks(server: Server): LinkListenerGuard;
  /** Stops the sweep. */
  close(): void;
}

/** A time limit is exceeded by this much at most. */
const SWEEP_INTERVAL_MS = 500;
/** A busy host is late by less. */
const MAX_LATENESS_MS = 1000;
/**
 * Multiple of the configured idle time after which an idle connection is closed, so that callers, which keep connections
 * for the configured time, close first: a request that is sent while the host closes the connection would be lost.
 */
const IDLE_FACTOR = 4;
const LINK_LISTENER = 'peers';

export function createClientGuard(options: ClientGuardOptions): ClientGuard {
  const { limits, configured, observer } = options;
  const budget = createByteBudget(limits.bufferBytes);
  // Of their own, so that bodies of callers never cost the links between hosts.
  const linkBudget = createByteBudget(limits.bufferBytes);
  const turn = createTurnGate();
  const guards = new Map<string, ConnectionGuard>();
  const log = createLimitLog(observer);
  let sweptAt = performance.now();
  const timer = setInterval(() => {
    const lateMs = performance.now() - sweptAt - SWEEP_INTERVAL_MS;
    sweptAt = performance.now();
    // After a pause of the process, what clients have sent meanwhile is read before the next sweep.
    if (lateMs > MAX_LATENESS_MS) return;
    for (const [listener, guard] of guards) {
      guard.sweep();
      observer.recordConnections(listener, guard.connections);
    }
    observer.recordBufferBytes(budget.used + linkBudget.used);
    log.flush();
  }, SWEEP_INTERVAL_MS);
  timer.unref();

  function protect(server: Server, listener: string, connectionLimits: ConnectionLimits) {
    const guard = createConnectionGuard(server, {
      limits: connectionLimits,
      budget,
      turn,
      record: (cause) => {
        log.record(listener, cause);
      },
    });
    guards.set(listener, guard);
    return guard;
  }

  const common = {
    pipelinedRequests: limits.pipelinedRequests,
    bodyTimeoutMs: limits.bodyTimeoutMs,
    responseTimeoutMs: limits.responseTimeoutMs,
  };
  return {
    budget,
    maxSmallChunks: limits.smallChunks,
    fragmentedBodies: createFragmentedBodies({
      onRefused: () => {
        turn.record();
      },
    }),
    record: (listener, cause) => {
      log.record(listener, cause);
    },
    protect: (server, listener, maxConnections) =>
      protect(server, listener, {
        ...common,
        maxConnections,
        maxEstablished: 0,
        headerTimeoutMs: () => limits.headerTimeoutMs ?? configured().headerTimeoutMs,
        idleTimeoutMs: () => limits.idleTimeoutMs ?? IDLE_FACTOR * configured().idleTimeoutMs,
        headerCause: 'header-timeout',
        idleCause: 'idle-timeout',
      }),
    protectLinks: (server) => {
      const connections = protect(server, LINK_LISTENER, {
        ...common,
        maxConnections: limits.unidentifiedLinks,
        maxEstablished: limits.peerLinks,
        headerTimeoutMs: () => limits.firstMessageTimeoutMs,
        idleTimeoutMs: () => limits.firstMessageTimeoutMs,
        headerCause: 'first-message-timeout',
        idleCause: 'first-message-timeout',
      });
      const { messageTimeoutMs } = limits;
      return {
        admit: (request, response) => connections.admit(request, response),
        watch: (link) =>
          guardMessages({ ...link, connections, budget: linkBudget, messageTimeoutMs }),
        establish: (socket) => connections.establish(socket),
      };
    },
    close: () => {
      clearInterval(timer);
    },
  };
}
