/**
 * The asynchronous task of each peer: dial, serve, wait with jittered backoff, dial again. The host
 * with the smaller id dials; the other one waits a little longer and then dials as well, so that two
 * hosts find each other even if only one of them knows the other's address.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { Host } from '../model/index.js';
import type { ConnectionRegistry } from './connection-registry.js';
import type { LinkTiming } from './types.js';

export interface PeerConnector {
  readonly setPeers: (hosts: readonly Host[]) => void;
  /** Stops dialling; resolves when all tasks have ended, which needs their connections to end. */
  readonly close: () => Promise<void>;
}

export interface PeerConnectorOptions {
  readonly self: string;
  readonly registry: ConnectionRegistry;
  readonly timing: LinkTiming;
  readonly random: () => number;
  /** Resolves after the attempt, whether or not it succeeded. */
  readonly dial: (host: Host, signal: AbortSignal) => Promise<void>;
}

interface Peer {
  /** As in the last `setPeers`; its address may change between dials. */
  host: Host;
  readonly stop: AbortController;
}

export function createPeerConnector(options: PeerConnectorOptions): PeerConnector {
  const { self, registry } = options;
  const peers = new Map<string, Peer>();
  const tasks = new Set<Promise<void>>();
  let closed = false;

  function startPeer(host: Host): void {
    const peer: Peer = { host, stop: new AbortController() };
    peers.set(host.id, peer);
    const task = maintainLink(options, peer);
    tasks.add(task);
    void task.finally(() => tasks.delete(task));
  }

  function stopPeer(id: string, peer: Peer): void {
    peers.delete(id);
    peer.stop.abort();
    // A link that the peer dialled stays open as long as the peer wants it.
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
      await Promise.all(tasks);
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
      // Only a link that lasted resets the backoff, so that a peer that accepts and closes at once is
      // not dialled in a tight loop.
      if (performance.now() - startedAt > timing.maxBackoffMs) attempts = 0;
    }
    const waitMs = chooseWait(options, id, attempts);
    await pause(waitMs, undefined, { signal }).catch(() => undefined);
    if (isAborted(signal) || registry.get(id) !== undefined) continue;
    attempts += 1;
    await options.dial(peer.host, signal);
  }
}

function chooseWait({ self, timing, random }: PeerConnectorOptions, id: string, attempts: number) {
  const backoff =
    attempts === 0 ? 0 : Math.min(timing.maxBackoffMs, timing.minBackoffMs * 2 ** (attempts - 1));
  const wait = self < id ? backoff : Math.max(backoff, timing.passiveDialDelayMs);
  return wait * (0.5 + random() / 2);
}

/** A function call, because the compiler takes the signal for unchanged since the last check. */
function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
