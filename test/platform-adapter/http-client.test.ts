/**
 * Guards the distinction between calls that may have been executed and calls that certainly were not, and against
 * giving up an answer that has arrived while the process itself was late to read it.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { expect } from 'chai';
import { createHttpClient } from '../../platform/http-client.js';
import type { HttpClient } from '../../platform/http-client.js';

/** Answers `/slow` never, and all else after 20 ms with the number of requests so far. Runs in a thread of its own. */
const SERVER = `
  const { parentPort } = require('node:worker_threads');
  let requests = 0;
  const server = require('node:http').createServer((request, response) => {
    requests += 1;
    if (request.url === '/slow') return;
    setTimeout(() => response.end(JSON.stringify({ requests })), 20);
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

describe('createHttpClient', () => {
  let server: Worker;
  let client: HttpClient;

  beforeEach(async () => {
    server = new Worker(SERVER, { eval: true });
    const [port] = (await once(server, 'message')) as [number];
    client = createHttpClient({ address: `127.0.0.1:${String(port)}`, connections: 1 });
  });

  afterEach(async () => {
    client.close();
    await server.terminate();
  });

  const call = (path: string, timeoutMs: number) =>
    client.call({ method: 'POST', path, body: { x: 1 }, timeoutMs });

  it('parses the answer', async () => {
    const answer = (await call('/', 5000))._unsafeUnwrap();
    expect(answer).to.deep.equal({ status: 200, body: { requests: 1 } });
  });

  it('does not know the outcome of a call that was sent and not answered', async () => {
    expect((await call('/slow', 100))._unsafeUnwrapErr().kind).to.equal('unknown');
  });

  it('knows that a call which waited for a connection in vain was not sent', async () => {
    const first = call('/slow', 400);
    const second = await call('/', 100);
    expect(second._unsafeUnwrapErr().kind).to.equal('not-sent');
    await first;
    expect((await call('/', 5000))._unsafeUnwrap().body).to.deep.equal({ requests: 2 });
  });

  it('delivers an answer that arrived while the process was busy beyond the timeout', async () => {
    await call('/', 5000);
    const answer = call('/', 150);
    await new Promise((resolve) => setTimeout(resolve, 5));
    const busyUntil = performance.now() + 400;
    while (performance.now() < busyUntil);
    expect((await answer)._unsafeUnwrap().status).to.equal(200);
  });

  it('does not know the outcome when the connection is closed', async () => {
    const answer = call('/slow', 5000);
    await new Promise((resolve) => setTimeout(resolve, 100));
    client.close();
    expect((await answer)._unsafeUnwrapErr().kind).to.equal('unknown');
  });
});
