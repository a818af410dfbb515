/**
 * Guards against one item that hides all others, and the distinction between writes that certainly were not done and
 * writes whose outcome is not known: a caller is told that a job was not accepted only in the first case.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createStoreClient } from '../../platform/store-client.js';
import type { StoreClient } from '../../platform/store-client.js';

describe('createStoreClient', () => {
  let server: Server;
  let client: StoreClient;
  let status = 200;
  let body = '';
  let respond: (path: string) => string;

  beforeEach(async () => {
    respond = () => body;
    server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        response.statusCode = status;
        response.end(respond(request.url ?? ''));
      });
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    client = createStoreClient({ address: `127.0.0.1:${String(port)}` });
  });

  afterEach(() => {
    client.close();
    server.close();
    server.closeAllConnections();
  });

  async function writeAnswered(answer: number, text = '{}') {
    status = answer;
    body = text;
    const write = { key: 'jobs/a1', value: 'x' };
    return client.transact({ conditions: [], writes: [write] });
  }

  describe('calls of high priority', () => {
    // Guards against reads of the configuration and renewals of the lease that wait behind reads of job states (CONFIG, SHORT).
    it('are answered while as many other calls wait as there are connections for them', async () => {
      const held: ServerResponse[] = [];
      server.removeAllListeners('request');
      server.on('request', (request, response) => {
        request.resume();
        if (request.url?.startsWith('/kv-key?key=jobs') === true) held.push(response);
        else response.end(JSON.stringify({ key: 'op/config', value: '', revision: 3 }));
      });
      const others = Array.from({ length: 40 }, (_, job) => client.get(`jobs/${String(job)}`));
      const timeoutMs = 500;
      const read = await client.get('op/config', { timeoutMs, priority: 'high' });
      const renewal = await client.renewLease(7, { timeoutMs });
      for (const response of held) response.destroy();
      client.close();
      await Promise.all(others);
      expect(read._unsafeUnwrap()?.revision).to.equal(3);
      expect(renewal.isOk()).to.equal(true);
    });
  });

  describe('a listing', () => {
    it('shows the other items beside one without a value', async () => {
      // An entry without bytes among those of the workers made every listing fail, so their copy grew old for good.
      status = 200;
      body = JSON.stringify({
        items: [
          { key: 'servers/a', revision: 3 },
          { key: 'servers/b', value: Buffer.from('text').toString('base64'), revision: 4 },
        ],
        'store-revision': 4,
      });
      const listing = await client.list('servers/');
      expect(listing._unsafeUnwrap().entries).to.deep.equal([
        { key: 'servers/a', value: '', revision: 3 },
        { key: 'servers/b', value: 'text', revision: 4 },
      ]);
    });
  });

  // A follower that cannot list keeps its copy as it was, however old that is.
  describe('a listing or watch', () => {
    const sound = { key: 'servers/b', value: Buffer.from('text').toString('base64'), revision: 7 };
    const odd = [
      { key: 'servers/a', revision: 6 },
      { key: 'servers/a', value: 5, revision: 6 },
    ];

    for (const item of [...odd, { ...sound, key: 5 }, null, 'text', []]) {
      it(`shows the other items beside ${JSON.stringify(item)}`, async () => {
        status = 200;
        body = JSON.stringify({ items: [item, sound], 'store-revision': 9 });
        const listing = (await client.list('servers/'))._unsafeUnwrap();
        expect(listing.entries.at(-1)).to.deep.equal({ ...sound, value: 'text' });
        body = JSON.stringify({ events: [item, sound], 'store-revision': 9 });
        const batch = (await client.watch('servers/', 1, 0))._unsafeUnwrap();
        expect(batch.changes.at(-1)).to.deep.equal({ ...sound, value: 'text' });
      });
    }

    it('shows an item without a value as one that is there', async () => {
      status = 200;
      body = JSON.stringify({ events: odd, 'store-revision': 9 });
      const batch = (await client.watch('servers/', 1, 0))._unsafeUnwrap();
      expect(batch.changes.map(({ value }) => value)).to.deep.equal(['', '']);
    });

    it('reads the page after one that ends with an item that cannot be read', async () => {
      status = 200;
      const pages = [
        { items: [sound, null], 'has-more': true, 'store-revision': 9 },
        { items: [{ ...sound, key: 'servers/c' }], 'store-revision': 9 },
      ];
      respond = (path) => JSON.stringify(path.includes('after=servers%2Fb') ? pages[1] : pages[0]);
      const listing = (await client.list('servers/'))._unsafeUnwrap();
      expect(listing.entries.map(({ key }) => key)).to.deep.equal(['servers/b', 'servers/c']);
    });

    it('fails if a page does not tell where the next one begins', async () => {
      status = 200;
      body = JSON.stringify({ items: [null], 'has-more': true, 'store-revision': 9 });
      expect((await client.list('servers/')).isErr()).to.equal(true);
      body = JSON.stringify({ items: [sound], 'has-more': true, 'store-revision': 9 });
      expect((await client.list('servers/')).isErr()).to.equal(true);
    });

    it('fails with a short detail if all of it is of another type', async () => {
      status = 200;
      body = JSON.stringify({ items: 5, 'store-revision': Array(10_000).fill('x') });
      const failure = (await client.list('servers/'))._unsafeUnwrapErr();
      expect(failure.kind).to.equal('unknown');
      expect(failure.detail.length).to.be.lessThan(200);
    });
  });

  describe('a write', () => {
    for (const refusal of [400, 403, 429, 503]) {
      it(`was not done if the store answers ${String(refusal)}`, async () => {
        const outcome = await writeAnswered(refusal);
        expect(outcome._unsafeUnwrapErr().kind).to.equal('rejected');
      });
    }

    for (const failure of [500, 502, 504]) {
      it(`may have been done if the store answers ${String(failure)}`, async () => {
        const outcome = await writeAnswered(failure);
        expect(outcome._unsafeUnwrapErr().kind).to.equal('unknown');
      });
    }

    it('may have been done if the answer of the store cannot be read', async () => {
      for (const text of ['', '{', '{"revision":"seven"}']) {
        const outcome = await writeAnswered(200, text);
        expect(outcome._unsafeUnwrapErr().kind).to.equal('unknown');
      }
    });
  });
});
