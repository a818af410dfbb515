import type { ServerResponse } from 'node:http';
import { expect } from 'chai';
import {
  createMemoryStore,
  createStore,
  wasNeverSent,
  type Store,
} from '../../src/platform/index.js';
import { callControlRoute } from '../../stand-ins/control.js';
import { startKeyValueServer } from '../../stand-ins/key-value/server.js';
import { findClosedUrl, releaseAfterEach, startRawServer } from '../support.js';

const SHORT_TIMEOUT_MS = 150;
const neverAborted = new AbortController().signal;

const writes = {
  compareAndSwap: async (store: Store) => (await store.compareAndSwap('k', 0, 'v')).map(() => true),
  remove: async (store: Store) => (await store.remove('k', 0)).map(() => true),
};
const reads = {
  get: async (store: Store) => (await store.get('k')).map(() => true),
  list: async (store: Store) => (await store.list('')).map(() => true),
  watch: async (store: Store) => (await store.watch('k', 1, neverAborted)).map(() => true),
};

describe('createStore', () => {
  const release = releaseAfterEach();

  async function startService() {
    const server = await startKeyValueServer();
    release(server.close);
    const open = (dataCentre = 'dc1', timeoutMs = 10_000) =>
      createStore({
        url: server.url,
        timeoutMs,
        headers: { 'sapphirewing-data-centre': dataCentre },
      });
    const fail = (faults: object) =>
      callControlRoute(server.url, 'PATCH', '/control/faults', faults);
    const calls = async () =>
      ((await callControlRoute(server.url, 'GET', '/control/calls')) as { total: number }).total;
    return { open, fail, calls };
  }

  const stores: Record<string, () => Promise<Store>> = {
    'the store in memory': () => Promise.resolve(createMemoryStore()),
    'the store over HTTP': async () => (await startService()).open(),
  };
  for (const [name, open] of Object.entries(stores)) {
    describe(`contract of ${name}`, () => {
      it('lets one of two writers of the same version win, so that no change is lost', async () => {
        const store = await open();
        const results = await Promise.all([
          store.compareAndSwap('a/b c', 0, 'x'),
          store.compareAndSwap('a/b c', 0, 'y'),
        ]);
        const failed = results.filter((result) => result.isErr());
        expect(failed.map((result) => result.error.kind)).to.deep.equal(['conflict']);
      });

      it('increases the version across a removal, so that an old version never matches again', async () => {
        const store = await open();
        const first = (await store.compareAndSwap('k', 0, 'x'))._unsafeUnwrap();
        expect((await store.remove('k', first + 1))._unsafeUnwrapErr().kind).to.equal('conflict');
        (await store.remove('k', first))._unsafeUnwrap();
        expect((await store.get('k'))._unsafeUnwrap()).to.equal(undefined);
        const second = (await store.compareAndSwap('k', 0, 'y'))._unsafeUnwrap();
        expect(second).to.be.greaterThan(first);
      });

      it('lists exactly the keys below a prefix', async () => {
        const store = await open();
        await store.compareAndSwap('a/1', 0, 'x');
        await store.compareAndSwap('ab', 0, 'y');
        const found = (await store.list('a/'))._unsafeUnwrap();
        expect([...found].map(([key, { value }]) => [key, value])).to.deep.equal([['a/1', 'x']]);
      });

      it('ends a watch immediately when the version already differs, so that no change is missed', async () => {
        const store = await open();
        const version = (await store.compareAndSwap('k', 0, 'x'))._unsafeUnwrap();
        const found = (await store.watch('k', 0, neverAborted))._unsafeUnwrap();
        expect(found).to.deep.include({ value: 'x', version });
      });

      it('wakes a waiting watch on a change and ends it without a value when aborted', async () => {
        const store = await open();
        const waiting = store.watch('k', 0, neverAborted);
        await store.compareAndSwap('k', 0, 'x');
        const found = (await waiting)._unsafeUnwrap();
        expect(found?.value).to.equal('x');
        const aborting = new AbortController();
        const aborted = store.watch('k', found?.version ?? 0, aborting.signal);
        aborting.abort();
        expect((await aborted)._unsafeUnwrap()).to.equal(undefined);
      });
    });
  }

  const outages = [
    { outage: 'error', write: 'unavailable' },
    { outage: 'reset', write: 'in-doubt' },
    { outage: 'hang', write: 'in-doubt' },
  ] as const;
  for (const { outage, write } of outages) {
    it(`reports writes as ${write} and reads as unavailable in an outage by ${outage}`, async () => {
      const { open, fail } = await startService();
      await fail({ outage });
      const store = open('dc1', SHORT_TIMEOUT_MS);
      for (const act of Object.values(writes)) {
        expect((await act(store))._unsafeUnwrapErr().kind).to.equal(write);
      }
      for (const act of [reads.get, reads.list]) {
        expect((await act(store))._unsafeUnwrapErr().kind).to.equal('unavailable');
      }
      await fail({ outage: 'none' });
      expect((await open().get('k'))._unsafeUnwrap()).to.equal(undefined);
    });
  }

  it('reports a write as unavailable if the port is closed, because it was certainly not sent', async () => {
    const store = createStore({ url: await findClosedUrl(), timeoutMs: SHORT_TIMEOUT_MS });
    for (const act of [...Object.values(writes), ...Object.values(reads)]) {
      expect((await act(store))._unsafeUnwrapErr().kind).to.equal('unavailable');
    }
  });

  it('reports a write whose response is lost as in doubt and sends it only once', async () => {
    const { open, fail, calls } = await startService();
    const store = open();
    await store.get('k'); // opens the connection, so that the write reuses it
    await fail({ loseAnswers: true });
    expect((await store.compareAndSwap('k', 0, 'v'))._unsafeUnwrapErr().kind).to.equal('in-doubt');
    expect(await calls()).to.equal(2);
    expect((await store.get('k'))._unsafeUnwrap()?.value).to.equal('v');
    expect(store.calls()).to.equal(3);
  });

  const failures = [
    { code: 'ECONNREFUSED', syscall: 'connect', unsent: true },
    { code: 'EAI_AGAIN', syscall: 'getaddrinfo', unsent: true },
    { code: 'UND_ERR_CONNECT_TIMEOUT', unsent: true },
    { code: 'EHOSTUNREACH', syscall: 'read', unsent: false },
    { code: 'ECONNRESET', syscall: 'read', unsent: false },
    { code: 'UND_ERR_SOCKET', unsent: false },
    { code: 'UND_ERR_HEADERS_TIMEOUT', unsent: false },
  ];
  for (const { unsent, ...error } of failures) {
    it(`classifies ${error.code} as ${unsent ? 'unsent' : 'possibly sent'}, so that no request that ran is reported as refused`, () => {
      const failure = Object.assign(new Error(error.code), error);
      expect(wasNeverSent(failure)).to.equal(unsent);
      expect(wasNeverSent(new AggregateError([failure, failure]))).to.equal(unsent);
      expect(wasNeverSent(new AggregateError([]))).to.equal(false);
    });
  }

  it('cuts off only the data centre that the test names', async () => {
    const { open, fail } = await startService();
    await fail({ cut: { dc2: 'reset' } });
    expect((await open('dc2').get('k'))._unsafeUnwrapErr().kind).to.equal('unavailable');
    expect((await open('dc1').get('k')).isOk()).to.equal(true);
  });

  const respondWith = (status: number, body: string) => (response: ServerResponse) => {
    response.writeHead(status).end(body);
  };
  const responses = [
    { name: 'status 500', respond: respondWith(500, ''), write: 'in-doubt' },
    { name: 'status 413', respond: respondWith(413, ''), write: 'unavailable' },
    { name: 'a body that is not JSON', respond: respondWith(200, '<html>'), write: 'in-doubt' },
    { name: 'JSON without a version', respond: respondWith(200, '{}'), write: 'in-doubt' },
    {
      name: 'a truncated body',
      respond: (response: ServerResponse) => {
        response.writeHead(200, { 'content-length': 100 });
        response.write('{"version"', () => response.destroy());
      },
      write: 'in-doubt',
    },
  ];
  for (const { name, respond, write } of responses) {
    it(`reports a write as ${write} after ${name}, and a read as unavailable`, async () => {
      const server = await startRawServer((_request, response) => {
        respond(response);
      });
      release(server.close);
      const store = createStore({ url: server.url, timeoutMs: SHORT_TIMEOUT_MS });
      expect((await writes.compareAndSwap(store))._unsafeUnwrapErr().kind).to.equal(write);
      expect((await reads.get(store))._unsafeUnwrapErr().kind).to.equal('unavailable');
    });
  }
});
