/**
 * Guards against refusals that are not true: a submission that is refused for its body must not reach the service, and a
 * job that was accepted before must not be refused because there is no room for its repeat. Guards also against bodies that
 * are read to their end before the key is checked.
 */
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { getRequestListener } from '@hono/node-server';
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createCallerApp } from '../../platform/caller-app.js';
import { createByteBudget, type LimitCause } from '../../src/client-limits/index.js';
import type { Access, CallerService, StateAnswer } from '../../src/intake/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';

const ID = '00000000000000a1';
const KEY = 'known';
const MAX_BODY_BYTES = 1000;
const WORK = JSON.stringify({
  spec: '',
  steps: [{ count: 1, cpu: 1000, 'mem-mb': 100, 'estimate-ms': 100 }],
});

describe('a submission to the callers’ port', () => {
  let server: Server;
  let clients: Socket[];
  let submitted: string[];
  let causes: LimitCause[];
  let state: StateAnswer;

  async function start(budgetBytes: number) {
    const service: CallerService = {
      authorize: ({ key }) =>
        Promise.resolve(key === KEY ? ok({ rest: ID } as Access) : err('unknown-key')),
      submit: (_caller, { id }) => {
        submitted.push(id);
        return Promise.resolve({ kind: 'accepted' });
      },
      state: () => Promise.resolve(state),
      cancel: () => Promise.resolve('unknown'),
      pending: () => Promise.resolve(undefined),
    };
    const app = createCallerApp({
      service,
      events: SILENT_EVENTS,
      meters: createMeters(),
      maxBodyBytes: () => MAX_BODY_BYTES,
      budget: createByteBudget(budgetBytes),
      maxSmallChunks: 100,
      recordLimit: (cause) => causes.push(cause),
      stopping: () => false,
    });
    const handle = getRequestListener(app.fetch);
    server = createServer((request, response) => void handle(request, response));
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  }

  beforeEach(() => {
    clients = [];
    submitted = [];
    causes = [];
    state = 'no-such-job';
  });

  afterEach(() => {
    for (const client of clients) client.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** Sends a request that may be unfinished and returns the start of its response. */
  async function send(header: string, body: string, key = KEY): Promise<string> {
    const { port } = server.address() as AddressInfo;
    const client = connect(port, '127.0.0.1');
    clients.push(client);
    const head = `POST /lookups/${ID} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${key}\r\n`;
    client.write(`${head}${header}\r\n\r\n${body}`);
    const [data] = (await once(client, 'data')) as [Buffer];
    return data.toString();
  }

  const announce = (bytes: number) => `Content-Length: ${String(bytes)}`;
  const CHUNKED = 'Transfer-Encoding: chunked';

  it('is accepted whole or in chunks', async () => {
    await start(10_000);
    expect(await send(announce(WORK.length), WORK)).to.include(' 200 ');
    const parts = [WORK.slice(0, 20), WORK.slice(20)].map(
      (part) => `${part.length.toString(16)}\r\n${part}\r\n`,
    );
    expect(await send(CHUNKED, `${parts.join('')}0\r\n\r\n`)).to.include(' 200 ');
    expect(submitted).to.deep.equal([ID, ID]);
    expect(causes).to.deep.equal([]);
  });

  it('is refused with 413 by its announced length or once it is too long, before it ends', async () => {
    await start(10_000);
    expect(await send(announce(MAX_BODY_BYTES + 1), '')).to.include(' 413 ');
    const size = MAX_BODY_BYTES + 1;
    const piece = `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`;
    expect(await send(CHUNKED, piece)).to.include(' 413 ');
    expect(submitted).to.deep.equal([]);
    expect(causes).to.deep.equal(['body-too-large', 'body-too-large']);
  });

  it('is refused with 401 before its body ends if the key is unknown', async () => {
    await start(10_000);
    expect(await send(announce(WORK.length), WORK.slice(0, -1), 'other')).to.include(' 401 ');
    expect(submitted).to.deep.equal([]);
  });

  describe('without room for its body', () => {
    const answers = [
      ['has an unknown outcome, as an earlier attempt may yet succeed', 'no-such-job', ' 504 '],
      ['is accepted if it was accepted before', 'queued', ' 200 '],
      ['has an unknown outcome if its state cannot be read', 'unavailable', ' 504 '],
    ] as const;
    for (const [name, known, status] of answers) {
      it(name, async () => {
        state = known;
        await start(10);
        const response = await send(announce(WORK.length), WORK);
        expect(response).to.include(status);
        expect(response.toLowerCase().includes('retry-after')).to.equal(known !== 'queued');
        expect(submitted).to.deep.equal([]);
        expect(causes).to.deep.equal(['buffer-full']);
      });
    }
  });
});
