/**
 * Entry hosts with links on loopback, and raw peers that misbehave.
 */
import { EventEmitter, once } from 'node:events';
import { WebSocket } from 'ws';
import {
  createLinks,
  type Exchange,
  type Links,
  type LinksOptions,
} from '../../src/links/index.js';
import { createHandshakeRequest, handshakeRequestHeaders } from '../../src/links/handshake.js';
import { SILENT_LOG } from '../../src/log/index.js';
import type { Host } from '../../src/model/index.js';

export type TestMessages = Record<string, Exchange>;

export interface Node {
  readonly host: Host;
  readonly links: Links<TestMessages>;
  /** Every change, as `+host` or `-host`. */
  readonly changes: string[];
  /** Resolves once the host is linked or not linked. */
  readonly until: (host: string, up: boolean) => Promise<void>;
}

export const SECRET = 'cluster secret';

const FAST_TIMING = {
  keepaliveMs: 20,
  silenceMs: 200,
  minBackoffMs: 5,
  maxBackoffMs: 50,
  yieldMs: 50,
};

export function hostAt(id: string, port: number, scheme = 'ws'): Host {
  const linkUrl = `${scheme}://127.0.0.1:${String(port)}`;
  return { id, dataCentre: 'dc1', url: 'http://127.0.0.1:1', linkUrl, state: 'live' };
}

export function createCluster() {
  const nodes: Node[] = [];
  const sockets: WebSocket[] = [];

  async function start(id: string, options: Partial<LinksOptions> = {}): Promise<Node> {
    const changes: string[] = [];
    const emitter = new EventEmitter();
    const links = await createLinks<TestMessages>({
      host: hostAt(id, 0),
      bootId: `${id}-boot`,
      secret: SECRET,
      listen: { address: '127.0.0.1', port: 0 },
      log: SILENT_LOG,
      timing: FAST_TIMING,
      onChange: (host, up) => {
        changes.push(`${up ? '+' : '-'}${host}`);
        emitter.emit('change');
      },
      ...options,
    });
    const until = async (host: string, up: boolean) => {
      while (links.connectedHosts().includes(host) !== up) await once(emitter, 'change');
    };
    const node = {
      host: hostAt(id, links.port, options.tls ? 'wss' : 'ws'),
      links,
      changes,
      until,
    };
    nodes.push(node);
    return node;
  }

  return {
    start,
    /** Two linked hosts, `a` and `b`. */
    startPair: async (a: Partial<LinksOptions> = {}, b: Partial<LinksOptions> = {}) => {
      const left = await start('a', a);
      const right = await start('b', b);
      left.links.setPeers([right.host]);
      await Promise.all([left.until('b', true), right.until('a', true)]);
      return [left, right] as const;
    },
    /** A peer that completes the handshake with its headers changed by the test. */
    dialRaw: (node: Node, identity: { host: string; bootId: string }, headers: object = {}) => {
      const greeting = createHandshakeRequest(identity, node.host.id, SECRET);
      const socket = new WebSocket(node.host.linkUrl, {
        headers: { ...handshakeRequestHeaders(greeting), ...headers },
        perMessageDeflate: false,
      });
      socket.on('error', () => undefined);
      sockets.push(socket);
      return socket;
    },
    close: async () => {
      for (const socket of sockets.splice(0)) socket.terminate();
      await Promise.all(nodes.splice(0).map((node) => node.links.close()));
    },
  };
}
