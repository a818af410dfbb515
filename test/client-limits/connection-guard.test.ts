/**
 * Guards against clients that hold connections: silent, within a header or a body, with unread responses or with many
 * pipelined requests; and against limits that interrupt a request which the host still works on.
 */
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { createByteBudget, createConnectionGuard } from '../../src/client-limits/index.js';
import type { ConnectionGuard, LimitCause } from '../../src/client-limits/index.js';
import { eventually } from '../platform-path/support.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const UNFINISHED_BODY = 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx';
const BUDGET = 1_000_000;

describe('the connections of a listener', () => {
  let server: Server;
  let guard: ConnectionGuard;
  let now: number;
  let causes: LimitCause[];
  let responses: ServerResponse[];
  let clients: Socket[];
  let budget: ReturnType<typeof createByteBudget>;

  beforeEach(async () => {
    now = 0;
    causes = [];
    responses = [];
    clients = [];
    budget = createByteBudget(BUDGET);
    server = createServer((request, response) => {
      if (guard.admit(request, response)) responses.push(response);
    });
    guard = createConnectionGuard(server, {
      now: () => now,
      budget,
      record: (cause) => causes.push(cause),
      limits: {
        maxConnections: 3,
        maxEstablished: 1,
        pipelinedRequests: 4,
        headerTimeoutMs: () => 100,
        bodyTimeoutMs: 200,
        responseTimeoutMs: 300,
        idleTimeoutMs: () => 400,
        headerCause: 'header-timeout',
        idleCause: 'idle-timeout',
      },
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  });

  async function open(text = ''): Promise<Socket> {
    const { port } = server.address() as AddressInfo;
    const accepted = once(server, 'connection') as Promise<[Socket]>;
    const client = connect(port, '127.0.0.1');
    client.on('error', () => undefined);
    clients.push(client);
    const [socket] = await accepted;
    client.write(text);
    await eventually(() => (socket.bytesRead === text.length ? true : undefined));
    return client;
  }

  function expectClosed(client: Socket): Promise<unknown> {
    client.resume();
    return client.closed ? Promise.resolve() : once(client, 'close');
  }

  /** Sweeps at the time, which starts waits that only a sweep observes. */
  function sweepAt(ms: number) {
    now = ms;
    guard.sweep();
  }

  describe('are closed when the client takes too long', () => {
    it('for a request, a header or a body', async () => {
      const silent = await open();
      const header = await open('GET / HTTP/1.1\r\n');
      const body = await open(UNFINISHED_BODY);
      sweepAt(0);
      sweepAt(100);
      expect(causes).to.deep.equal([]);
      sweepAt(101);
      sweepAt(201);
      sweepAt(401);
      expect(causes).to.deep.equal(['header-timeout', 'body-timeout', 'idle-timeout']);
      await Promise.all([silent, header, body].map(expectClosed));
      expect(guard.connections).to.equal(0);
    });

    it('to read a response, whose bytes are charged until then', async () => {
      const client = await open(REQUEST);
      client.pause();
      // More than the kernel takes for a client that does not read.
      responses[0]?.end(Buffer.alloc(20_000_000));
      await eventually(() => (responses[0]?.writableEnded === true ? true : undefined));
      sweepAt(0);
      expect(causes).to.deep.equal(['buffer-full']);
      expect(budget.used).to.equal(0);
    });
  });

  it('have the bytes of responses charged that wait for an earlier one', async () => {
    const client = await open(REQUEST.repeat(2));
    await eventually(() => (responses.length === 2 ? true : undefined));
    const request = responses[1]?.req;
    responses[1]?.end(Buffer.alloc(BUDGET / 2));
    if (request !== undefined) guard.charge(request);
    expect(budget.used).to.be.at.least(BUDGET / 2);
    responses[0]?.end(Buffer.alloc(20_000_000));
    if (request !== undefined) guard.charge(request);
    expect(causes).to.deep.equal(['buffer-full']);
    expect(budget.used).to.equal(0);
    await expectClosed(client);
  });

  it('stay open for as long as the host works on a request', async () => {
    const client = await open(REQUEST);
    for (const ms of [0, 1000, 10_000]) sweepAt(ms);
    responses[0]?.end('late');
    const [text] = (await once(client, 'data')) as [Buffer];
    expect(text.toString()).to.include('late');
    expect(causes).to.deep.equal([]);
  });

  it('have idle time counted from the last response', async () => {
    const client = await open(REQUEST);
    sweepAt(1000);
    responses[0]?.end('ok');
    await once(client, 'data');
    await eventually(() => (responses[0]?.closed === true ? true : undefined));
    sweepAt(1400);
    expect(causes).to.deep.equal([]);
    sweepAt(1401);
    expect(causes).to.deep.equal(['idle-timeout']);
  });

  it('have a bounded number of outstanding responses', async () => {
    const four = await open(REQUEST.repeat(4));
    expect(responses).to.have.length(4);
    const five = await open(REQUEST.repeat(5));
    await expectClosed(five);
    expect(causes).to.deep.equal(['pipelined-requests']);
    expect(four.destroyed).to.equal(false);
  });

  describe('when there are too many', () => {
    it('lose the one whose client has been waited for longest', async () => {
      const longest = await open();
      now = 10;
      await open(UNFINISHED_BODY);
      now = 20;
      await open();
      await open();
      await expectClosed(longest);
      expect(causes).to.deep.equal(['connection-evicted']);
      expect(guard.connections).to.equal(3);
    });

    it('lose no request in progress; the new connection is closed instead', async () => {
      for (let index = 0; index < 3; index += 1) await open(REQUEST);
      const latest = await open().catch(() => undefined);
      if (latest !== undefined) await expectClosed(latest);
      expect(causes).to.deep.equal(['connections-exhausted']);
      expect(responses).to.have.length(3);
    });
  });
});
