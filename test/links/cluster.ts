/**
 * Starts linked hosts on the loopback interface, and raw peers for tests of protocol violations.
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

export interface TestHost {
  readonly host: Host;
  readonly links: Links<TestMessages>;
  /** Reachability changes in order: `+host` for a new link, `-host` for a lost one. */
  readonly changes: string[];
  /** Resolves once the host is linked (`up`) or not linked. */
  readonly waitForLink: (host: string, up: boolean) => Promise<void>;
}

export const SECRET = 'cluster secret';

const FAST_TIMING = {
  keepaliveIntervalMs: 20,
  receiveTimeoutMs: 200,
  minBackoffMs: 5,
  maxBackoffMs: 50,
  passiveDialDelayMs: 50,
};

export function hostAt(id: string, port: number, scheme = 'ws'): Host {
  const linkUrl = `${scheme}://127.0.0.1:${String(port)}`;
  return { id, dataCentre: 'dc1', url: 'http://127.0.0.1:1', linkUrl, state: 'live' };
}

export function createCluster() {
  const testHosts: TestHost[] = [];
  const sockets: WebSocket[] = [];

  async function start(id: string, options: Partial<LinksOptions> = {}): Promise<TestHost> {
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
    const waitForLink = async (host: string, up: boolean) => {
      while (links.connectedHosts().includes(host) !== up) await once(emitter, 'change');
    };
    const testHost = {
      host: hostAt(id, links.port, options.tls ? 'wss' : 'ws'),
      links,
      changes,
      waitForLink,
    };
    testHosts.push(testHost);
    return testHost;
  }

  return {
    start,
    /** Starts two linked hosts, `a` and `b`. */
    startPair: async (a: Partial<LinksOptions> = {}, b: Partial<LinksOptions> = {}) => {
      const left = await start('a', a);
      const right = await start('b', b);
      left.links.setPeers([right.host]);
      await Promise.all([left.waitForLink('b', true), right.waitForLink('a', true)]);
      return [left, right] as const;
    },
    /** Dials as a peer without the links code; `headers` override those of the handshake. */
    dialRaw: (
      testHost: TestHost,
      identity: { host: string; bootId: string },
      headers: object = {},
    ) => {
      const request = createHandshakeRequest(identity, testHost.host.id, SECRET);
      const socket = new WebSocket(testHost.host.linkUrl, {
        headers: { ...handshakeRequestHeaders(request), ...headers },
        perMessageDeflate: false,
      });
      socket.on('error', () => undefined);
      sockets.push(socket);
      return socket;
    },
    close: async () => {
      for (const socket of sockets.splice(0)) socket.terminate();
      await Promise.all(testHosts.splice(0).map((testHost) => testHost.links.close()));
    },
  };
}
