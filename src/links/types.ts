/**
 * The interface of the links between entry hosts, which carry requests with replies and notifications
 * without.
 */
import type { Server } from 'node:http';
import type { ResultAsync } from 'neverthrow';
import type { LinkListenerGuard } from '../client-limits/index.js';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import type { HybridClock } from '../timeline/index.js';

/**
 * Why a request got no reply: it was certainly not sent (`not-connected`), the peer may or may not have
 * handled it (`in-doubt`), or the peer's handler failed (`rejected`).
 */
export interface LinkError {
  readonly kind: 'not-connected' | 'in-doubt' | 'rejected';
  readonly detail: string;
}

/** Types of the body and the reply of one message kind. */
export interface Exchange {
  body: unknown;
  reply: unknown;
}

/**
 * Maps message kinds to the types of their bodies and replies; the entry module declares the kinds. The
 * constraint refers to the map itself, because an interface without an index signature is not
 * assignable to `Record<string, Exchange>`.
 */
export type MessageMap<M> = Record<keyof M, Exchange>;

/** Handles a message of a peer; if it throws or rejects, the request is rejected. */
export type MessageHandler<Body, Reply> = (body: Body, from: string) => Promise<Reply> | Reply;

/** The links of one entry host. */
export interface Links<M extends MessageMap<M>> {
  /** Replaces the set of hosts to dial; hosts that it no longer contains are not dialled any more. */
  setPeers(hosts: readonly Host[]): void;
  /** Ids of the hosts with an open link, regardless of which side dialled. */
  connectedHosts(): readonly string[];
  request<K extends keyof M & string>(
    host: string,
    kind: K,
    body: M[K]['body'],
    options?: { readonly timeoutMs?: number },
  ): ResultAsync<M[K]['reply'], LinkError>;
  /** Sends without waiting for a reply; returns false if the message was certainly not sent. */
  notify<K extends keyof M & string>(host: string, kind: K, body: M[K]['body']): boolean;
  handle<K extends keyof M & string>(
    kind: K,
    handler: MessageHandler<M[K]['body'], M[K]['reply']>,
  ): void;
  /** Total bytes on all links so far, including handshakes and framing. */
  traffic(): Traffic;
  /** The port that the listener is bound to. */
  readonly port: number;
  close(): Promise<void>;
}

export interface Traffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Direction of a message, as seen from this host. */
export type Direction = 'send' | 'receive';

/**
 * Test hook that passes, drops or delays each message and that can block dials, to test partitions,
 * one-way links and slow links. A number delays the message by that many milliseconds.
 */
export type LinkFilter = (direction: Direction, host: string) => 'pass' | 'drop' | number;

/** This host's key and certificate and the certificate authority of all hosts, in PEM format. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}

/** Intervals, timeouts and delays of links, in milliseconds. */
export interface LinkTiming {
  /** A link that has sent nothing for this long sends a keepalive. */
  readonly keepaliveIntervalMs: number;
  /** A link that has received nothing for this long is closed. */
  readonly receiveTimeoutMs: number;
  /** Delay before the first redial; it doubles with each failure. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** How long the host with the greater id waits to be dialled before it dials, without jitter. */
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
  /** The clock of this process's timeline; messages are stamped with its time. */
  readonly clock?: HybridClock;
  readonly filter?: LinkFilter;
  /** Limits connections that have not proved who they are; without it they are not limited. */
  readonly protect?: (server: Server) => LinkListenerGuard;
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
