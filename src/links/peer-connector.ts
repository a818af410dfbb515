/**
 * Keeps one link open to each peer: dials it, waits until the link ends, and redials with jittered
 * exponential backoff. The host with the smaller id dials first. The other one waits longer and then
 * dials as well, so that two hosts connect even if only one of them knows the other's address.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Host } from '../model/index.js';
import type { ConnectionRegistry } from './connection-registry.js';
import type { LinkTiming } from './types.js';

export interface PeerConnector {
  readonly setPeers: (hosts: readonly Host[]) => void;
  /**
   * Stops dialling; resolves when all link loops have ended, which requires their connections to
   * end.
   */
  readonly close: () => Promise<void>;
}

export interface PeerConnectorOptions {
  readonly self: string;
  readonly registry: ConnectionRegistry;
  readonly timing: LinkTiming;
  readonly random: () => number;
  /** Resolves after the attempt, whether it succeeded or failed. */
  readonly dial: (host: Host, signal: AbortSignal) => Promise<void>;
}

interface Peer {
  /** From the last `setPeers`; its address may change between dials. */
  host: Host;
  readonly stop: AbortController;
}

export function createPeerConnector(options: PeerConnectorOptions): PeerConnector {
  const { self, registry } = options;
  const peers = new Map<string, Peer>();
  const linkLoops = new Set<Promise<void>>();
  let closed = false;

  function startPeer(host: Host): void {
    const peer: Peer = { host, stop: new AbortController() };
    peers.set(host.id, peer);
    const linkLoop = maintainLink(options, peer);
    linkLoops.add(linkLoop);
    void linkLoop.finally(() => linkLoops.delete(linkLoop));
  }

  function stopPeer(id: string, peer: Peer): void {
    peers.delete(id);
    peer.stop.abort();
    // A link that the peer dialled stays open until the peer closes it.
    const connection = registry.get(id);
    if (connection?.dialler === self) void connection.close();
  }

  return {
    setPeers: (hosts) => {
      if (closed) return;
      const wanted = new Map(hosts.map((host) => [host.id, host]));
      wanted.delete(self);
      for (const [id, peer] of [...peers]) if (!wanted.has(id)) stopPeer(id, peer);
      for (const [id, host] of wanted) {
        const peer = peers.get(id);
        if (peer === undefined) startPeer(host);
        else peer.host = host;
      }
    },
    close: async () => {
      closed = true;
      for (const peer of peers.values()) peer.stop.abort();
      await Promise.all(linkLoops);
    },
  };
}

async function maintainLink(options: PeerConnectorOptions, peer: Peer): Promise<void> {
  const { registry, timing } = options;
  const { signal } = peer.stop;
  const { id } = peer.host;
  let attempts = 0;
  while (!signal.aborted) {
    const connection = registry.get(id);
    if (connection !== undefined) {
      const startedAt = performance.now();
      await connection.ended;
      // Only a link that lasted longer than the maximum backoff resets it, so that a peer that accepts
      // links and closes them at once is not dialled in a tight loop.
      if (performance.now() - startedAt > timing.maxBackoffMs) attempts = 0;
    }
    const delayMs = computeDialDelayMs(options, id, attempts);
    await pause(delayMs, undefined, { signal }).catch(() => undefined);
    if (isAborted(signal) || registry.get(id) !== undefined) continue;
    attempts += 1;
    await options.dial(peer.host, signal);
  }
}

function computeDialDelayMs(
  { self, timing, random }: PeerConnectorOptions,
  id: string,
  attempts: number,
) {
  const backoff =
    attempts === 0 ? 0 : Math.min(timing.maxBackoffMs, timing.minBackoffMs * 2 ** (attempts - 1));
  const wait = self < id ? backoff : Math.max(backoff, timing.passiveDialDelayMs);
  return wait * (0.5 + random() / 2);
}

/**
 * Hides the property access from TypeScript, which would narrow `aborted` to the result of the
 * earlier check.
 */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
