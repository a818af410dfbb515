/**
 * Guards against connections to the port for links that take descriptors or memory: ones that never identify themselves,
 * ones that send much before they do, and links with unfinished messages; and against links that are cut by mistake.
 */
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import {
  createClientGuard,
  deriveClientLimits,
  type ClientGuard,
  type LimitCause,
} from '../../src/client-limits/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { createPeerHub, type PeerHub } from '../../src/peers/index.js';
import { eventually } from '../platform-path/support.js';

/** Each host has one link at a time. */
const helloOf = (host: string) =>
  new Packr({ useRecords: false }).pack({ kind: 'hello', host, processors: 1 });

describe('the port for links between hosts', () => {
  let hub: PeerHub;
  let guard: ClientGuard;
  let causes: LimitCause[];
  let sockets: WebSocket[];
  let port: number;

  beforeEach(async () => {
    causes = [];
    sockets = [];
    port = await findFreePort();
    guard = createClientGuard({
      limits: deriveClientLimits(
        { memoryMb: undefined, maxDescriptors: undefined },
        {
          bufferBytes: 100_000,
          peerLinks: 2,
          unidentifiedLinks: 2,
          firstMessageTimeoutMs: 300,
          messageTimeoutMs: 300,
        },
      ),
      configured: () => ({ headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }),
      observer: {
        count: (_listener, cause) => causes.push(cause),
        write: () => undefined,
        recordConnections: () => undefined,
        recordBufferBytes: () => undefined,
      },
    });
    hub = createPeerHub({
      ip: '127.0.0.1',
      port,
      events: SILENT_EVENTS,
      protect: (server) => guard.protectLinks(server),
    });
  });

  afterEach(() => {
    for (const socket of sockets) socket.terminate();
    hub.close();
    guard.close();
  });

  async function dial(): Promise<WebSocket> {
    const socket = new WebSocket(`ws://127.0.0.1:${String(port)}`, { perMessageDeflate: false });
    socket.on('error', () => undefined);
    sockets.push(socket);
    await once(socket, 'open');
    return socket;
  }

  async function identify(host = `host-${String(sockets.length)}`): Promise<WebSocket> {
    const linked = hub.callers().length;
    const socket = await dial();
    socket.send(helloOf(host));
    await eventually(() => (hub.callers().length > linked ? true : undefined));
    return socket;
  }

  const closed = (socket: WebSocket) =>
    socket.readyState === WebSocket.CLOSED ? Promise.resolve() : once(socket, 'close');

  it('closes a connection that does not identify itself and keeps a link that has', async () => {
    const link = await identify();
    await closed(await dial());
    expect(causes).to.deep.equal(['first-message-timeout']);
    expect(link.readyState).to.equal(WebSocket.OPEN);
    expect(hub.callers()).to.have.length(1);
  });

  it('closes the oldest connection that has not identified itself when there are too many', async () => {
    const link = await identify();
    const [first] = [await dial(), await dial(), await dial()];
    await closed(first);
    expect(causes).to.include('connection-evicted');
    expect(link.readyState).to.equal(WebSocket.OPEN);
  });

  it('closes the former link of a host that connects again, which a partition can leave open', async () => {
    const former = await identify('host-a');
    const socket = await dial();
    socket.send(helloOf('host-a'));
    await closed(former);
    await eventually(() => (hub.callers().length === 1 ? true : undefined));
    expect(socket.readyState).to.equal(WebSocket.OPEN);
    expect(causes).to.deep.equal([]);
  });

  it('closes a connection whose first message is large', async () => {
    const socket = await dial();
    socket.send(Buffer.alloc(10_000));
    await closed(socket);
    expect(causes).to.deep.equal(['first-message-too-large']);
  });

  it('closes a link whose message does not end in time or has no room', async () => {
    const slow = await identify();
    slow.send(Buffer.alloc(10), { fin: false });
    await closed(slow);
    expect(causes).to.deep.equal(['message-timeout']);
    await eventually(() => (hub.callers().length === 0 ? true : undefined));
    const large = await identify();
    large.send(Buffer.alloc(150_000), { fin: false });
    await closed(large);
    expect(causes).to.deep.equal(['message-timeout', 'buffer-full']);
    expect(guard.budget.used).to.equal(0);
  });

  it('keeps a link that sends only pings for longer than the time of a message', async () => {
    const link = await identify();
    for (let sent = 0; sent < 20; sent += 1) {
      link.ping();
      await once(link, 'pong');
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    expect(causes).to.deep.equal([]);
    expect(link.readyState).to.equal(WebSocket.OPEN);
  });

  it('closes a link beyond the number of other hosts', async () => {
    await identify();
    await identify();
    const third = await dial();
    third.send(helloOf('third'));
    await closed(third);
    expect(causes).to.deep.equal(['connections-exhausted']);
    expect(hub.callers()).to.have.length(2);
  });

  describe('with requests that open no link', () => {
    const REQUEST = 'GET / HTTP/1.1\r\nHost: host-1\r\n\r\n';

    /** Returns all that the listener sends until it closes the connection. */
    async function send(requests: string): Promise<string> {
      const socket = connect(port, '127.0.0.1').setEncoding('utf8');
      socket.on('error', () => undefined);
      let received = '';
      socket.on('data', (data) => (received += String(data)));
      socket.write(requests);
      await once(socket, 'close');
      return received;
    }

    it('says what the port is for and closes the connection', async () => {
      expect(await send(REQUEST)).to.match(/^HTTP\/1\.1 426 .*\r\nconnection: close\r\n/su);
      expect(causes).to.deep.equal([]);
    });

    // Guards against requests and responses that stay in memory because their client sends ahead and reads nothing.
    it('closes a connection that sends many requests ahead', async () => {
      const received = await send(REQUEST.repeat(1000));
      expect(received.match(/HTTP\/1\.1/gu) ?? []).to.have.length.at.most(1);
      expect(causes).to.deep.equal(['pipelined-requests']);
    });
  });
});

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return port;
}
