import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { expect } from 'chai';
import { createHandshakeRequest, handshakeRequestHeaders } from '../../src/links/handshake.js';
import type { LinkFilter } from '../../src/links/index.js';
import { encodeMessage } from '../../src/links/message.js';
import { createCluster, hostAt, SECRET } from './cluster.js';
import { TEST_CERTIFICATE, TEST_KEY } from './certificate.js';

const never = () => new Promise<never>(() => undefined);

describe('links', () => {
  const cluster = createCluster();
  afterEach(() => cluster.close());

  describe('handshake', () => {
    const identity = { host: 'x', bootId: 'x1' };
    const wrongProof = handshakeRequestHeaders(
      createHandshakeRequest(identity, 'a', 'another secret'),
    );
    const rejected: readonly (readonly [string, typeof identity, object, number])[] = [
      ['a wrong secret', identity, wrongProof, 401],
      ['no proof', identity, { 'sapphirewing-proof': '' }, 401],
      ['a proof for another identity', identity, { 'sapphirewing-host': 'y' }, 401],
      ['a proof of another length', identity, { 'sapphirewing-proof': 'ab' }, 401],
      ['a dial meant for another host', identity, signedHeaders(identity, 'z'), 409],
      ['the id of the listener', { host: 'a', bootId: 'a2' }, {}, 409],
    ];
    function signedHeaders(self: typeof identity, target: string) {
      return handshakeRequestHeaders(createHandshakeRequest(self, target, SECRET));
    }
    for (const [name, self, headers, status] of rejected) {
      it(`rejects ${name}, so that an unauthenticated peer cannot send messages`, async () => {
        const testHost = await cluster.start('a');
        const socket = cluster.dialRaw(testHost, self, headers);
        const [, response] = (await once(socket, 'unexpected-response')) as [
          unknown,
          IncomingMessage,
        ];
        expect(response.statusCode).to.equal(status);
        expect(testHost.links.connectedHosts()).to.deep.equal([]);
      });
    }

    it('does not link to a listener with another secret, and links once its secret is right', async () => {
      const a = await cluster.start('a');
      const foreignHost = await cluster.start('b', { secret: 'another secret' });
      a.links.setPeers([foreignHost.host, (await cluster.start('c')).host]);
      await a.waitForLink('c', true);
      await foreignHost.links.close();
      expect(a.changes).to.deep.equal(['+c']);
      const b = await cluster.start('b', {
        listen: { address: '127.0.0.1', port: foreignHost.links.port },
      });
      await a.waitForLink('b', true);
      expect(b.links.connectedHosts()).to.deep.equal(['a']);
    });

    it('encrypts links when a key and a certificate are given', async () => {
      const tls = { key: TEST_KEY, cert: TEST_CERTIFICATE, ca: TEST_CERTIFICATE };
      const [a, b] = await cluster.startPair({ tls }, { tls });
      b.links.handle('echo', (body) => body);
      expect((await a.links.request('b', 'echo', 1))._unsafeUnwrap()).to.equal(1);
    });
  });

  describe('requests', () => {
    it('matches replies by id when they arrive out of order', async () => {
      const [a, b] = await cluster.startPair();
      const releases: (() => void)[] = [];
      b.links.handle('echo', async (body) => {
        if (body === 0) await new Promise<void>((resolve) => releases.push(resolve));
        return { body };
      });
      const first = a.links.request('b', 'echo', 0);
      expect((await a.links.request('b', 'echo', 1))._unsafeUnwrap()).to.deep.equal({ body: 1 });
      releases[0]?.();
      expect((await first)._unsafeUnwrap()).to.deep.equal({ body: 0 });
    });

    it('transfers binary data, maps and null values unchanged', async () => {
      const [a, b] = await cluster.startPair();
      b.links.handle('echo', (body) => body);
      const body = { bytes: Buffer.from([0, 255]), map: new Map([['t', 1.5]]), list: [null, true] };
      expect((await a.links.request('b', 'echo', body))._unsafeUnwrap()).to.deep.equal(body);
    });

    it('reports in-doubt when the peer is killed in the middle of a request', async () => {
      const testHost = await cluster.start('b');
      const socket = cluster.dialRaw(testHost, { host: 'x', bootId: 'x1' });
      await testHost.waitForLink('x', true);
      const request = testHost.links.request('x', 'echo', 1);
      await once(socket, 'message');
      socket.terminate();
      expect((await request)._unsafeUnwrapErr().kind).to.equal('in-doubt');
    });

    it('reports in-doubt when the reply does not come in time', async () => {
      const [a, b] = await cluster.startPair();
      b.links.handle('echo', never);
      const request = a.links.request('b', 'echo', 1, { timeoutMs: 5 });
      expect((await request)._unsafeUnwrapErr().kind).to.equal('in-doubt');
    });

    const rejections: readonly (readonly [string, string, unknown, RegExp])[] = [
      ['the handler fails', 'fails', 1, /wrong input/],
      ['there is no handler for the kind', 'other', 1, /does not handle/],
      ['the reply cannot be encoded', 'bigint', 1, /./],
      ['the reply is too large', 'large', 1, /send less/],
    ];
    for (const [name, kind, body, detail] of rejections) {
      it(`reports rejected without waiting for the timeout when ${name}`, async () => {
        const [a, b] = await cluster.startPair();
        b.links.handle('fails', () => Promise.reject(new Error('wrong input')));
        b.links.handle('bigint', () => 2n ** 70n);
        b.links.handle('large', () => Buffer.alloc(17 * 1024 * 1024));
        const error = (await a.links.request('b', kind, body))._unsafeUnwrapErr();
        expect(error.kind).to.equal('rejected');
        expect(error.detail).to.match(detail);
      });
    }

    it('reports not-connected before the link is open and after it is closed', async () => {
      const [a, b] = await cluster.startPair();
      expect((await a.links.request('c', 'echo', 1))._unsafeUnwrapErr().kind).to.equal(
        'not-connected',
      );
      await b.links.close();
      await a.waitForLink('b', false);
      expect((await a.links.request('b', 'echo', 1))._unsafeUnwrapErr().kind).to.equal(
        'not-connected',
      );
      expect(a.links.notify('b', 'echo', 1)).to.equal(false);
    });
  });

  describe('peers', () => {
    it('links again to a restarted peer and fails the requests to its previous process', async () => {
      const [a, b] = await cluster.startPair();
      b.links.handle('echo', never);
      const lost = a.links.request('b', 'echo', 1);
      await b.links.close();
      expect((await lost)._unsafeUnwrapErr().kind).to.equal('in-doubt');
      const listen = { address: '127.0.0.1', port: b.links.port };
      const restarted = await cluster.start('b', { bootId: 'b2', listen });
      restarted.links.handle('echo', (body) => body);
      await a.waitForLink('b', true);
      expect((await a.links.request('b', 'echo', 2))._unsafeUnwrap()).to.equal(2);
      expect(a.changes).to.deep.equal(['+b', '-b', '+b']);
    });

    it('replaces a link that it dialled when the restarted peer dials first', async () => {
      const [a, b] = await cluster.startPair();
      cluster.dialRaw(a, { host: 'b', bootId: 'b2' });
      await b.waitForLink('a', false);
      expect(a.changes).to.deep.equal(['+b', '-b', '+b']);
    });

    it('replaces the link of a peer that dials with a new boot id', async () => {
      const testHost = await cluster.start('b');
      const old = cluster.dialRaw(testHost, { host: 'x', bootId: 'x1' });
      await once(old, 'open');
      await testHost.waitForLink('x', true);
      cluster.dialRaw(testHost, { host: 'x', bootId: 'x2' });
      await once(old, 'close');
      expect(testHost.links.connectedHosts()).to.deep.equal(['x']);
      expect(testHost.changes).to.deep.equal(['+x', '-x', '+x']);
    });

    it('disconnects a peer that does not read, so that the send buffer does not grow without bound', async () => {
      const testHost = await cluster.start('b');
      const socket = cluster.dialRaw(testHost, { host: 'x', bootId: 'x1' });
      await once(socket, 'open');
      await testHost.waitForLink('x', true);
      socket.pause();
      const chunk = Buffer.alloc(256 * 1024);
      let sent = 0;
      while (testHost.links.notify('x', 'echo', chunk) && sent < 200) {
        sent += 1;
        await new Promise(setImmediate);
      }
      expect(sent).to.be.lessThan(200);
      await testHost.waitForLink('x', false);
    });

    it('closes the link of a peer that sends invalid data or a message with another sender', async () => {
      const testHost = await cluster.start('b');
      const sentAt = { ms: 1, counter: 0 };
      const message = { sequence: 1, sentAt, id: 0, kind: 'echo', body: 1 } as const;
      const forged = encodeMessage({ type: 'notification', sender: 'y', bootId: 'x1', ...message });
      for (const data of [Buffer.from('text'), Buffer.from([0x90]), forged]) {
        const socket = cluster.dialRaw(testHost, { host: 'x', bootId: 'x1' });
        await once(socket, 'open');
        socket.send(data);
        await once(socket, 'close');
      }
      await testHost.waitForLink('x', false);
    });

    it('ignores repeated messages, so that a notification is handled only once', async () => {
      const testHost = await cluster.start('b');
      const seen: unknown[] = [];
      const done = new Promise<void>((resolve) => {
        testHost.links.handle('echo', (body) => {
          seen.push(body);
          if (body === 3) resolve();
        });
      });
      const socket = cluster.dialRaw(testHost, { host: 'x', bootId: 'x1' });
      await once(socket, 'open');
      for (const [sequence, body] of [
        [1, 1],
        [2, 2],
        [2, 2],
        [1, 1],
        [3, 3],
      ] as const) {
        const origin = { sender: 'x', bootId: 'x1', sentAt: { ms: 1, counter: 0 } };
        socket.send(
          encodeMessage({ type: 'notification', ...origin, sequence, id: 0, kind: 'echo', body }),
        );
      }
      await done;
      expect(seen).to.deep.equal([1, 2, 3]);
    });

    it('accepts a link from a peer with a greater id if only that peer knows the address', async () => {
      const a = await cluster.start('a');
      const b = await cluster.start('b');
      b.links.setPeers([a.host]);
      await a.waitForLink('b', true);
    });

    it('keeps one working link when both sides dial at the same time', async () => {
      const timing = {
        keepaliveIntervalMs: 20,
        receiveTimeoutMs: 200,
        minBackoffMs: 1,
        maxBackoffMs: 5,
        passiveDialDelayMs: 0,
      };
      const a = await cluster.start('a', { timing });
      const b = await cluster.start('b', { timing });
      a.links.handle('echo', (body) => body);
      b.links.handle('echo', (body) => body);
      a.links.setPeers([b.host]);
      b.links.setPeers([a.host]);
      await Promise.all([a.waitForLink('b', true), b.waitForLink('a', true)]);
      let replies = 0;
      for (let attempt = 0; replies < 20 && attempt < 200; attempt += 1) {
        await Promise.all([a.waitForLink('b', true), b.waitForLink('a', true)]);
        const both = [a.links.request('b', 'echo', 1), b.links.request('a', 'echo', 1)];
        const results = await Promise.all(both);
        replies = results.every((result) => result.isOk()) ? replies + 1 : 0;
      }
      expect(replies).to.equal(20);
    });

    it('closes the link to a host that is no longer a peer and links again when it is one', async () => {
      const [a, b] = await cluster.startPair();
      a.links.setPeers([]);
      await b.waitForLink('a', false);
      a.links.setPeers([hostAt('b', b.links.port)]);
      await b.waitForLink('a', true);
    });
  });

  describe('partitions', () => {
    for (const blocked of ['send', 'receive'] as const) {
      it(`closes a link while messages in its ${blocked} direction are dropped and links again afterwards`, async () => {
        let cut = false;
        const filter: LinkFilter = (direction) => (cut && direction === blocked ? 'drop' : 'pass');
        const [a, b] = await cluster.startPair({ filter });
        b.links.handle('echo', (body) => body);
        cut = true;
        const request = await a.links.request('b', 'echo', 1);
        expect(request._unsafeUnwrapErr().kind).to.equal('in-doubt');
        await Promise.all([a.waitForLink('b', false), b.waitForLink('a', false)]);
        cut = false;
        await Promise.all([a.waitForLink('b', true), b.waitForLink('a', true)]);
        expect((await a.links.request('b', 'echo', 2))._unsafeUnwrap()).to.equal(2);
      });
    }

    it('keeps the order of messages while their delay decreases', async () => {
      const delays = [30, 10, 0, 5];
      let delaying = false;
      const filter: LinkFilter = (direction) =>
        delaying && direction === 'send' ? (delays.shift() ?? 'pass') : 'pass';
      const [a, b] = await cluster.startPair({ filter });
      const seen: unknown[] = [];
      const done = new Promise<void>((resolve) => {
        b.links.handle('echo', (body) => {
          seen.push(body);
          if (body === 4) resolve();
        });
      });
      delaying = true;
      for (const body of [0, 1, 2, 3, 4]) a.links.notify('b', 'echo', body);
      await done;
      expect(seen).to.deep.equal([0, 1, 2, 3, 4]);
    });
  });
});
