/**
 * Guards against one item that hides all others, and the distinction between writes that certainly were not done and
 * writes whose outcome is not known: a caller is told that a job was not accepted only in the first case.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createStoreClient } from '../../platform/store-client.js';
import type { StoreClient } from '../../platform/store-client.js';

describe('createStoreClient', () => {
  let server: Server;
  let client: StoreClient;
  let status = 200;
  let body = '';

  beforeEach(async () => {
    server = createServer((request, response) => {
      request.resume();
      request.on('end', () => {
        response.statusCode = status;
        response.end(body);
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
