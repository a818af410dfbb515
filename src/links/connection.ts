/**
 * One open connection to a peer. It numbers messages, matches replies to requests by id, sends
 * keepalives, closes when nothing is received, and limits the unsent bytes.
 */
import type { Socket } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { WebSocket } from 'ws';
import type { Log } from '../log/index.js';
import type { HybridClock } from '../timeline/index.js';
import { createDelayLine } from './delay-line.js';
import type { Identity } from './handshake.js';
import { decodeMessage, encodeMessage, MAX_MESSAGE_BYTES, type Message } from './message.js';
import type { Direction, LinkError, LinkFilter, LinkTiming, Traffic } from './types.js';

/** A peer that reads too slowly is disconnected; its unsent bytes would grow without bound. */
export const MAX_UNSENT_BYTES = 4 * 1024 * 1024;
/** How long a closing connection may take to send its buffered messages. */
const CLOSE_TIMEOUT_MS = 1000;
const CLOSE_CODE_GOING_AWAY = 1001;

/** Passes a notification or request to the handler of its kind. */
export type Dispatch = (kind: string, body: unknown, from: string) => Promise<unknown>;

/** Dependencies and settings that all connections of one host share. */
export interface ConnectionContext {
  readonly self: Identity;
  readonly clock: HybridClock;
  readonly filter: LinkFilter;
  readonly timing: LinkTiming;
  readonly log: Log;
  readonly dispatch: Dispatch;
  /** Returns the next sequence number of messages to a host; it keeps rising across connections. */
  readonly nextSequence: (host: string) => number;
  /**
   * Records the number of a received message; false if this process of the peer has sent it or a
   * later one before.
   */
  readonly acceptSequence: (peer: Identity, sequence: number) => boolean;
}

export interface Connection {
  readonly peer: Identity;
  /** Id of the host that dialled. */
  readonly dialler: string;
  request(kind: string, body: unknown, timeoutMs: number): Promise<Result<unknown, LinkError>>;
  notify(kind: string, body: unknown): Result<void, LinkError>;
  traffic(): Traffic;
  /** Sends the buffered messages, then closes. */
  close(): Promise<void>;
  /** Closes at once, without sending the buffered messages. */
  terminate(reason: string): void;
  /** Resolves when the connection has ended. */
  readonly ended: Promise<void>;
}

/** An open socket whose handshake has succeeded. */
export interface AuthenticatedSocket {
  readonly peer: Identity;
  readonly dialler: string;
  readonly socket: WebSocket;
  readonly transport: Socket;
}

type Settle = (result: Result<unknown, LinkError>) => void;

export function createConnection(
  context: ConnectionContext,
  authenticated: AuthenticatedSocket,
): Connection {
  const { self, clock, timing, log } = context;
  const { peer, socket, transport } = authenticated;
  const pending = new Map<number, Settle>();
  const outgoing = createDelayLine();
  const incoming = createDelayLine();
  let lastId = 0;
  let sentSinceTick = false;
  let ticksSinceReceive = 0;
  let terminated = false;

  const ended = new Promise<void>((resolve) => {
    socket.once('close', () => {
      clearInterval(keepaliveTimer);
      outgoing.clear();
      incoming.clear();
      for (const settle of [...pending.values()]) {
        settle(err({ kind: 'in-doubt', detail: `The link to ${peer.host} broke.` }));
      }
      resolve();
    });
  });
  // Counts ticks instead of comparing times: after a pause of this process only one tick is due, so the
  // pause is not mistaken for a peer that has stopped sending.
  const keepaliveTimer = setInterval(onKeepaliveTick, timing.keepaliveIntervalMs);

  function onKeepaliveTick(): void {
    ticksSinceReceive += 1;
    if (ticksSinceReceive * timing.keepaliveIntervalMs > timing.receiveTimeoutMs) {
      terminate('nothing was received');
      return;
    }
    if (!sentSinceTick) send('keepalive', 0, '', null);
    sentSinceTick = false;
  }

  function terminate(reason: string): void {
    if (socket.readyState === WebSocket.CLOSED) return;
    log.info('Terminating a link.', { peer: peer.host, reason });
    terminated = true;
    socket.terminate();
  }

  function send(
    type: Message['type'],
    id: number,
    kind: string,
    body: unknown,
  ): Result<void, LinkError> {
    if (socket.readyState !== WebSocket.OPEN)
      return notSentError(`The link to ${peer.host} is closed.`);
    if (socket.bufferedAmount > MAX_UNSENT_BYTES) {
      terminate('the peer reads too slowly');
      return notSentError(`${peer.host} reads too slowly and was disconnected.`);
    }
    const sequence = context.nextSequence(peer.host);
    const sender = { sender: self.host, bootId: self.bootId, sequence, sentAt: clock.tick() };
    const data = encodeMessage({ type, ...sender, id, kind, body });
    if (data.byteLength > MAX_MESSAGE_BYTES) {
      return notSentError(`The message has ${String(data.byteLength)} bytes; send less.`);
    }
    sentSinceTick = true;
    applyFilter('send', () => {
      if (socket.readyState === WebSocket.OPEN) socket.send(data);
    });
    return ok(undefined);
  }

  function applyFilter(direction: Direction, action: () => void): void {
    const verdict = context.filter(direction, peer.host);
    if (verdict === 'drop') return;
    const line = direction === 'send' ? outgoing : incoming;
    line.add(verdict === 'pass' ? 0 : verdict, action);
  }

  function receive(data: Buffer): void {
    // The socket may still emit messages that it read before it was terminated.
    if (terminated) return;
    const message = decodeMessage(data);
    if (message?.sender !== peer.host || message.bootId !== peer.bootId) {
      terminate('the peer sent a malformed message');
      return;
    }
    applyFilter('receive', () => {
      ticksSinceReceive = 0;
      clock.receive(message.sentAt);
      if (!context.acceptSequence(peer, message.sequence)) return;
      handle(message);
    });
  }

  function handle(message: Message): void {
    const { type, id, kind, body } = message;
    if (type === 'notification') void runNotification(kind, body);
    if (type === 'request') void runRequest(id, kind, body);
    if (type === 'reply') pending.get(id)?.(ok(body));
    if (type === 'rejection') pending.get(id)?.(err({ kind: 'rejected', detail: String(body) }));
  }

  async function runNotification(kind: string, body: unknown): Promise<void> {
    try {
      await context.dispatch(kind, body, peer.host);
    } catch (error) {
      log.warn('Failed to handle a notification.', { peer: peer.host, kind, error: String(error) });
    }
  }

  async function runRequest(id: number, kind: string, body: unknown): Promise<void> {
    try {
      const reply = await context.dispatch(kind, body, peer.host);
      send('reply', id, '', reply).mapErr((error) => {
        // Without a rejection the peer would wait until its request times out.
        send('rejection', id, '', error.detail);
      });
    } catch (error) {
      log.warn('Failed to handle a request.', { peer: peer.host, kind, error: String(error) });
      send('rejection', id, '', error instanceof Error ? error.message : String(error));
    }
  }

  function request(kind: string, body: unknown, timeoutMs: number) {
    lastId += 1;
    const id = lastId;
    const sent = send('request', id, kind, body);
    if (sent.isErr()) return Promise.resolve(err(sent.error));
    return new Promise<Result<unknown, LinkError>>((resolve) => {
      const settle: Settle = (result) => {
        clearTimeout(timer);
        pending.delete(id);
        resolve(result);
      };
      const timer = setTimeout(() => {
        const detail = `${peer.host} did not reply to ${kind} within ${String(timeoutMs)} ms.`;
        settle(err({ kind: 'in-doubt', detail }));
      }, timeoutMs);
      pending.set(id, settle);
    });
  }

  async function close(): Promise<void> {
    socket.close(CLOSE_CODE_GOING_AWAY);
    const timer = setTimeout(() => {
      socket.terminate();
    }, CLOSE_TIMEOUT_MS);
    await ended;
    clearTimeout(timer);
  }

  socket.on('message', (data) => {
    receive(data as Buffer);
  });
  socket.on('error', (error) => {
    log.debug('A link failed.', { peer: peer.host, error: error.message });
  });

  return {
    peer,
    dialler: authenticated.dialler,
    request,
    notify: (kind, body) => send('notification', 0, kind, body),
    traffic: () => ({
      sentBytes: transport.bytesWritten,
      receivedBytes: transport.bytesRead,
    }),
    close,
    terminate,
    ended,
  };
}

function notSentError(detail: string): Result<never, LinkError> {
  return err({ kind: 'not-connected', detail });
}
