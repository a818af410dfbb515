import { once, EventEmitter } from 'node:events';
import { expect } from 'chai';
import { errAsync } from 'neverthrow';
import { CONFIGURATION_KEY, type ApplyError } from '../../src/configuration/index.js';
import { rendezvousOrder } from '../../src/hosts/index.js';
import { createMemoryStore, type Store, type StoreError } from '../../src/platform/index.js';
import { createHolder } from './fixture.js';

const change = (text: string, baseRevision: number, changeId = text) => ({
  text,
  baseRevision,
  changeId,
});

describe('configuration holder', () => {
  describe('adopt', () => {
    const offers: readonly (readonly [string, number, string, boolean, number])[] = [
      ['a lower revision', 4, 'x', false, 5],
      ['the same revision with another text', 5, 'x', false, 5],
      ['a higher revision', 9, 'x', true, 9],
      ['a higher revision that does not compile', 9, 'bad', false, 5],
    ];
    for (const [name, revision, text, adopted, inForce] of offers) {
      it(`${adopted ? 'takes' : 'refuses'} ${name}, so that no accepted configuration is reverted`, () => {
        const { holder, relayed } = createHolder('a', createMemoryStore());
        const seen: number[] = [];
        holder.adoptIfNewer({ revision: 5, changeId: 'c5', text: 'five' });
        holder.onChange((configuration) => seen.push(configuration.revision));
        expect(holder.adoptIfNewer({ revision, changeId: 'c', text })).to.equal(adopted);
        expect(holder.current()?.revision).to.equal(inForce);
        expect(seen).to.deep.equal(adopted ? [revision] : []);
        expect(relayed).to.deep.equal([]);
      });
    }
  });

  describe('apply', () => {
    it('puts a change into force, relays it and counts it as a read of the store', async () => {
      const { holder, relayed } = createHolder('a', createMemoryStore());
      expect(holder.keysCurrent()).to.equal(false);
      const applied = (await holder.apply(change('one', 0)))._unsafeUnwrap();
      expect(applied).to.include({ revision: 1, changeId: 'one', text: 'one' });
      expect(holder.record()).to.deep.equal({ revision: 1, changeId: 'one', text: 'one' });
      expect(relayed.map((record) => record.revision)).to.deep.equal([1]);
      expect(holder.keysCurrent()).to.equal(true);
    });

    const refusals: readonly (readonly [string, ReturnType<typeof change>, Partial<ApplyError>])[] =
      [
        ['an old base revision', change('new', 0), { kind: 'conflict', revision: 1 }],
        [
          'a base revision that does not exist yet',
          change('new', 2),
          { kind: 'conflict', revision: 1 },
        ],
        ['a text with findings', change('bad', 1), { kind: 'invalid' }],
        [
          'a text larger than a value of the store',
          change('x'.repeat(1_000_000), 1),
          { kind: 'invalid' },
        ],
      ];
    for (const [name, offered, expected] of refusals) {
      it(`refuses ${name} and leaves the configuration as it is`, async () => {
        const { holder } = createHolder('a', createMemoryStore());
        await holder.apply(change('one', 0));
        expect((await holder.apply(offered))._unsafeUnwrapErr()).to.include(expected);
        expect(holder.current()?.text).to.equal('one');
      });
    }

    it('accepts exactly one of two concurrent changes and reports its revision to the other', async () => {
      const store = createMemoryStore();
      const [a, b] = [createHolder('a', store), createHolder('b', store)];
      const results = await Promise.all([
        a.holder.apply(change('one', 0)),
        b.holder.apply(change('two', 0)),
      ]);
      expect(results.filter((result) => result.isOk())).to.have.length(1);
      const lost = results.find((result) => result.isErr());
      expect(lost?._unsafeUnwrapErr()).to.deep.equal({ kind: 'conflict', revision: 1 });
    });

    /** Replaces compare-and-swap; the other operations of the store are unchanged. */
    function withCompareAndSwap(store: Store, swap: Store['compareAndSwap']): Store {
      return { ...store, compareAndSwap: swap };
    }
    const lostResponse: StoreError = { kind: 'in-doubt', detail: 'the response was lost' };

    it('reads a write back when its response was lost', async () => {
      const store = createMemoryStore();
      store.setMode('lose-answers');
      const { holder } = createHolder('a', store);
      expect((await holder.apply(change('one', 0)))._unsafeUnwrap().revision).to.equal(1);
    });

    it('recognizes that a write in doubt took effect when another change has already followed', async () => {
      const store = createMemoryStore();
      const other = createHolder('b', store);
      const faulty = withCompareAndSwap(store, (key, version, value) =>
        store
          .compareAndSwap(key, version, value)
          .andThen(() => other.holder.apply(change('two', 1)))
          .mapErr(() => lostResponse)
          .andThen(() => errAsync(lostResponse)),
      );
      const { holder } = createHolder('a', faulty);
      expect((await holder.apply(change('one', 0)))._unsafeUnwrap()).to.include({ revision: 1 });
      expect(holder.current()).to.include({ revision: 2, text: 'two' });
    });

    it('writes again when a write in doubt did not take effect', async () => {
      const store = createMemoryStore();
      let attempts = 0;
      const faulty = withCompareAndSwap(store, (key, version, value) => {
        attempts += 1;
        return attempts === 1 ? errAsync(lostResponse) : store.compareAndSwap(key, version, value);
      });
      const { holder } = createHolder('a', faulty);
      expect((await holder.apply(change('one', 0)))._unsafeUnwrap().revision).to.equal(1);
    });

    it('reports in-doubt if the store goes down after the write, and the outcome when the change is repeated', async () => {
      const store = createMemoryStore();
      const faulty = withCompareAndSwap(store, (key, version, value) =>
        store.compareAndSwap(key, version, value).andThen(() => {
          store.setMode('down');
          return errAsync(lostResponse);
        }),
      );
      const { holder } = createHolder('a', faulty);
      expect((await holder.apply(change('one', 0)))._unsafeUnwrapErr().kind).to.equal('in-doubt');
      expect((await holder.apply(change('two', 0)))._unsafeUnwrapErr().kind).to.equal(
        'unavailable',
      );
      store.setMode('up');
      expect((await holder.apply(change('one', 0)))._unsafeUnwrap().revision).to.equal(1);
    });

    it('does not overwrite a value that it cannot decode', async () => {
      const store = createMemoryStore();
      await store.compareAndSwap(CONFIGURATION_KEY, 0, '{"other":1}');
      const { holder } = createHolder('a', store);
      expect((await holder.apply(change('one', 0)))._unsafeUnwrapErr().kind).to.equal(
        'unavailable',
      );
    });
  });

  describe('start', () => {
    let stop = new AbortController();
    const running: Promise<unknown>[] = [];
    beforeEach(() => {
      stop = new AbortController();
    });
    afterEach(async () => {
      stop.abort();
      await Promise.all(running.splice(0));
    });

    /** Two hosts of one data centre, each behind its own connection to one store. */
    function startTwo() {
      const shared = createMemoryStore();
      const watches = new EventEmitter();
      const down = new Set<string>();
      const order = rendezvousOrder('watch/dc1', ['a', 'b']);
      const hosts = order.map((id) => {
        const fail = () => errAsync<never, StoreError>({ kind: 'unavailable', detail: 'down' });
        const store: Store = {
          ...shared,
          get: (key) => (down.has(id) ? fail() : shared.get(key)),
          watch: (key, version, signal) => {
            watches.emit(id);
            return down.has(id) ? fail() : shared.watch(key, version, signal);
          },
        };
        return { id, ...createHolder(id, store, { keyStalenessMs: 200 }) };
      });
      const exchange = (silent?: string) => {
        for (const from of hosts.filter(({ id }) => id !== silent)) {
          for (const to of hosts) to.membership.recordHeartbeat(from.createHeartbeat());
        }
      };
      exchange();
      const timer = setInterval(exchange, 10);
      stop.signal.addEventListener('abort', () => {
        clearInterval(timer);
      });
      running.push(...hosts.map(({ holder }) => holder.start(stop.signal)));
      const [first, second] = hosts;
      if (first === undefined || second === undefined) throw new Error('two hosts expected');
      return { shared, watches, down, first, second };
    }

    it('finds a change that another host wrote and relays it once', async () => {
      const { shared, first } = startTwo();
      const writer = createHolder('w', shared);
      await writer.holder.apply(change('one', 0));
      while (first.holder.current()?.revision !== 1) await once(first.changes, 'change');
      await writer.holder.apply(change('two', 1));
      while (first.holder.current()?.revision !== 2) await once(first.changes, 'change');
      expect(first.relayed.map((record) => record.revision)).to.deep.equal([2]);
    });

    it('moves the watch to another host when the watcher loses the store, and back', async () => {
      const { watches, down, first, second } = startTwo();
      const takenOver = once(watches, second.id);
      down.add(first.id);
      await takenOver;
      const returned = once(watches, first.id);
      down.delete(first.id);
      await returned;
    });

    it('stops immediately while a watch is pending in the store', async () => {
      const { shared } = startTwo();
      expect(shared.calls()).to.be.greaterThan(0);
      stop.abort();
      await Promise.all(running);
    });

    it('does not trust heartbeats that were buffered while the process was paused', async () => {
      let wall = 1000;
      const store = createMemoryStore();
      store.setMode('down');
      const options = { now: () => wall, keyStalenessMs: 500 };
      const a = createHolder('a', store, options);
      const b = createHolder('b', store, options);
      for (const { holder } of [a, b])
        holder.adoptIfNewer({ revision: 1, changeId: 'c', text: 't' });
      b.holder.recordStoreContact(0);
      running.push(a.holder.start(stop.signal));
      a.membership.recordHeartbeat(b.createHeartbeat());
      expect(a.holder.keysCurrent()).to.equal(true);
      await new Promise(setImmediate);
      const pauseEnd = performance.now() + 200;
      while (performance.now() < pauseEnd);
      await new Promise((resolve) => setTimeout(resolve, 0));
      a.membership.recordHeartbeat(b.createHeartbeat());
      expect(a.holder.keysCurrent()).to.equal(false);
      wall += 101;
      a.membership.recordHeartbeat(b.createHeartbeat());
      expect(a.holder.keysCurrent()).to.equal(true);
    });
  });
});
