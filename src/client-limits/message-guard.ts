/**
 * Limits what a link may have sent of a message that is not complete: its bytes, which are charged to the budget of the
 * host, and its time. Before the link has identified itself only a short message is allowed.
 */
import type { Socket } from 'node:net';
import type { WebSocket } from 'ws';
import type { ByteBudget, UnfinishedItem } from './byte-budget.js';
import type { ConnectionGuard } from './connection-guard.js';
import type { LimitCause } from './limit-log.js';

export interface MessageGuardOptions {
  readonly connections: ConnectionGuard;
  readonly budget: ByteBudget;
  readonly socket: Socket;
  readonly webSocket: WebSocket;
  readonly maxMessageBytes: number;
  readonly messageTimeoutMs: number;
  readonly now?: () => number;
}

export interface MessageGuard {
  /** Allows messages of the full size; returns false if there are too many links, and closes this one. */
  identify(): boolean;
}

/** The first message has a name and a number. */
const FIRST_MESSAGE_BYTES = 4096;
/** One read of the socket, which can hold the end of one message and the start of the next. */
const READ_BYTES = 65_536;
/** Head of a control frame with its mask. */
const CONTROL_HEAD_BYTES = 6;
/** Messages to a link that does not read them; the leader sends some kilobytes a second to a host at most. */
const MAX_UNREAD_BYTES = 4 * 1024 * 1024;

export function guardMessages(options: MessageGuardOptions): MessageGuard {
  const { connections, budget, socket, webSocket, maxMessageBytes } = options;
  const { now = () => performance.now() } = options;
  let identified = false;
  let pending = 0;
  let pendingSince = 0;
  let charged = 0;
  let removeUnfinished: (() => void) | undefined;

  const item: UnfinishedItem = {
    abandon: () => {
      settle();
      connections.close(socket, 'buffer-full');
    },
  };

  function charge(bytes: number): boolean {
    if (bytes > charged && !budget.reserve(bytes - charged, item)) return false;
    if (bytes < charged) budget.release(charged - bytes);
    charged = bytes;
    if (bytes > 0) removeUnfinished ??= budget.addUnfinished(item);
    else {
      removeUnfinished?.();
      removeUnfinished = undefined;
    }
    return true;
  }

  function settle() {
    pending = 0;
    charge(0);
  }

  function check(at: number): LimitCause | undefined {
    if (pending > 0 && at - pendingSince > options.messageTimeoutMs) return 'message-timeout';
    return webSocket.bufferedAmount > MAX_UNREAD_BYTES ? 'unread-messages' : undefined;
  }

  function accept(bytes: number): LimitCause | undefined {
    if (pending === 0) pendingSince = now();
    pending += bytes;
    if (!identified) return pending > FIRST_MESSAGE_BYTES ? 'first-message-too-large' : undefined;
    if (pending > maxMessageBytes + READ_BYTES) return 'message-too-large';
    return charge(pending) ? undefined : 'buffer-full';
  }

  // Before the listener of the WebSocket, so that a complete message is counted before it is settled.
  socket.prependListener('data', (data: Buffer) => {
    const cause = accept(data.byteLength);
    if (cause !== undefined) connections.close(socket, cause);
  });
  webSocket.prependListener('message', settle);
  const skipControlFrame = (data: Buffer) => {
    pending = Math.max(0, pending - data.byteLength - CONTROL_HEAD_BYTES);
    charge(pending);
  };
  webSocket.on('ping', skipControlFrame);
  webSocket.on('pong', skipControlFrame);
  socket.once('close', settle);
  connections.watch(socket, check);

  return {
    identify: () => {
      identified = true;
      return connections.establish(socket);
    },
  };
}
