/**
 * Guards against waiting for the timeout of calls that hang although the store has recovered.
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import {
  createReachability,
  followPrefix,
  abandonWriteOnRecovery,
} from '../../src/records/index.js';
import type { Listing, KeyValueStore, StoreFailure } from '../../src/records/index.js';

function createClock() {
  const clock = { ms: 0 };
  const reachability = createReachability({ events: SILENT_EVENTS, now: () => clock.ms });
  const answerAt = (ms: number) => {
    clock.ms = ms;
    reachability.recordAnswer();
  };
  return { reachability, answerAt };
}

function neverSettles<T>(): Promise<T> {
  return new Promise(() => undefined);
}

function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

describe('reachability of the store', () => {
  it('is regained by the first answer after an outage, and by no other', () => {
    const { reachability, answerAt } = createClock();
    let regained = 0;
    answerAt(0);
    const unsubscribe = reachability.onRecovered(() => (regained += 1));
    for (const ms of [500, 1000, 3000, 3150]) answerAt(ms);
    expect(regained).to.equal(1);
    unsubscribe();
    answerAt(9000);
    expect(regained).to.equal(1);
  });

  it('is not lost while the store is slow', () => {
    // Answers that took 450 ms counted as a recovery, and each of them made all pending writes restart.
    const { reachability, answerAt } = createClock();
    let regained = 0;
    answerAt(0);
    reachability.onRecovered(() => (regained += 1));
    for (let ms = 0; ms < 10_000; ms += 950) answerAt(ms);
    expect(regained).to.equal(0);
  });

  it('abandons a hanging write with an unknown outcome', async () => {
    const { reachability, answerAt } = createClock();
    answerAt(0);
    const write = abandonWriteOnRecovery(
      neverSettles<Result<number, StoreFailure>>(),
      reachability,
    );
    answerAt(5000);
    expect((await write)._unsafeUnwrapErr().kind).to.equal('unknown');
  });

  it('makes a follower list again at once', async () => {
    const { reachability, answerAt } = createClock();
    answerAt(0);
    let lists = 0;
    const seen: number[] = [];
    const store = {
      list: () => {
        lists += 1;
        return lists === 1
          ? neverSettles<Result<Listing, StoreFailure>>()
          : Promise.resolve(ok({ entries: [], revision: 7 }));
      },
      watch: () => neverSettles<Result<never, StoreFailure>>(),
      get: () => Promise.resolve(err({ kind: 'unknown', detail: 'not used here' })),
    } as unknown as KeyValueStore;
    const follower = followPrefix({
      store,
      reachability,
      prefix: 'jobs/',
      events: SILENT_EVENTS,
      onListing: (entries) => seen.push(entries.length),
      onChange: () => undefined,
    });
    answerAt(4000);
    await flushPromises();
    follower.stop();
    expect({ lists, seen, revision: follower.revision }).to.deep.equal({
      lists: 2,
      seen: [0],
      revision: 7,
    });
  });
});
