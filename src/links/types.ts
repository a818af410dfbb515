/**
 * Links between entry hosts: requests with replies, and notifications without.
 */
import type { ResultAsync } from 'neverthrow';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import type { HybridClock } from '../timeline/index.js';

/**
 * Why a request got no reply: it was certainly not sent, the peer may or may not have handled it,
 * or the peer's handler failed.
 */
export interface LinkError {
  readonly kind: 'not-connected' | 'in-doubt' | 'rejected';
  readonly detail: string;
}

/** Body and reply of one message kind. */
export interface Exchange {
  body: unknown;
  reply: unknown;
}

/**
 * Message kinds with their bodies and replies; the entry module names them. The constraint refers to
 * the map itself, because an interface without an index signature is no `Record<string, Exchange>`.
 */
export type MessageMap<M> = Record<keyof M, Exchange>;

/** Handles a message of a peer; a handler that throws rejects the request. */
export type MessageHandler<Body, Reply> = (body: Body, from: string) => Promise<Reply> | Reply;

/** The links of one entry host. */
export interface Links<M extends MessageMap<M>> {
  /** Dials these hosts from now on; hosts that are no longer named are not dialled any more. */
  setPeers(hosts: readonly Host[]): void;
  /** Ids of the hosts with an open link, whichever side dialled. */
  connectedHosts(): readonly string[];
  request<K extends keyof M & string>(
    host: string,
    kind: K,
    body: M[K]['body'],
    options?: { readonly timeoutMs?: number },
  ): ResultAsync<M[K]['reply'], LinkError>;
  /** Sends without waiting for a reply; false if the message was certainly not sent. */
  notify<K extends keyof M & string>(host: string, kind: K, body: M[K]['body']): boolean;
  handle<K extends keyof M & string>(
    kind: K,
    handler: MessageHandler<M[K]['body'], M[K]['reply']>,
  ): void;
  /** Bytes on all links so far, handshakes and framing included. */
  traffic(): Traffic;
  /** The port that the listener is bound to. */
  readonly port: number;
  close(): Promise<void>;
}

export interface Traffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Which way a message travels, seen from this host. */
export type Direction = 'send' | 'receive';

/**
 * Decides over each message and each dial, so that partitions, one-way links and slow links can be
 * tested: a number delays the message by that many milliseconds.
 */
export type LinkFilter = (direction: Direction, host: string) => 'pass' | 'drop' | number;

/** PEM texts of this host's key and certificate and of the authority that signs all hosts'. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}

/** Times in milliseconds. */
export interface LinkTiming {
  /** A link that has sent nothing for so long sends an empty message. */
  readonly keepaliveIntervalMs: number;
  /** A link that has received nothing for so long is closed. */
  readonly receiveTimeoutMs: number;
  /** Wait before the first repeated dial; doubles with each failure. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** How long the host with the greater id waits to be dialled before it dials itself. */
  readonly passiveDialDelayMs: number;
  readonly handshakeTimeoutMs: number;
}

export interface LinksOptions {
  readonly host: Host;
  readonly bootId: string;
  readonly secret: string;
  readonly listen: { readonly address: string; readonly port: number };
  readonly tls?: LinkTls;
  readonly log: Log;
  /** Called when a host becomes reachable or unreachable. */
  readonly onChange?: (host: string, up: boolean) => void;
  /** The clock of this process's timeline; messages carry its time. */
  readonly clock?: HybridClock;
  readonly filter?: LinkFilter;
  readonly random?: () => number;
  readonly timing?: Partial<LinkTiming>;
}

export const DEFAULT_LINK_TIMING: LinkTiming = {
  keepaliveIntervalMs: 1000,
  receiveTimeoutMs: 5000,
  minBackoffMs: 100,
  maxBackoffMs: 3000,
  passiveDialDelayMs: 3000,
  handshakeTimeoutMs: 5000,
};
