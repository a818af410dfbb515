/**
 * Guards against a new leader whose lease ends before its first renewal because its loop is still in the pause of up
 * to 1.5 s between two checks. The next leader would lose its lease in the same way, and an overloaded cell would
 * start no more tasks (day trouble-3 of pielaru-sched, seed 32866715750).
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createElection, TOKENS_PER_TERM } from '../../src/leadership/index.js';
import type { Election } from '../../src/leadership/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { StoreEntry, KeyValueStore } from '../../src/records/index.js';
import { eventually } from '../platform-path/support.js';

const LEADER_KEY = 'leadership/leader';
/** Half of the shortest lease. */
const FIRST_RENEWAL_MS = 600;

describe('a host that is elected between two checks', () => {
  it('renews its lease long before it ends', async () => {
    const other = JSON.stringify({ host: 'other', address: '127.0.0.1:1', epoch: 1 });
    let leader: StoreEntry | undefined = { key: LEADER_KEY, value: other, revision: 5 };
    let checks = 0;
    let renewedAt: number | undefined;
    const store = {
      get: () => {
        checks += 1;
        return Promise.resolve(ok(leader));
      },
      list: () =>
        Promise.resolve(ok({ entries: leader === undefined ? [] : [leader], revision: 9 })),
      grantLease: () => Promise.resolve(ok(1)),
      transact: () => Promise.resolve(ok({ kind: 'committed', revision: 10 })),
      renewLease: () => {
        renewedAt ??= performance.now();
        return Promise.resolve(ok(undefined));
      },
      endLease: () => Promise.resolve(ok(undefined)),
    } as unknown as KeyValueStore;
    const election = createElection({
      store,
      host: 'own',
      address: '127.0.0.1:2',
      minLeaseMs: 1000,
      processors: 1,
      events: SILENT_EVENTS,
      eligible: () => true,
      onElected: () => undefined,
      onReacquired: () => undefined,
      onLeadershipLost: () => undefined,
      onStoreRejection: () => undefined,
      onLeaderChange: () => undefined,
      random: () => 0,
    });
    election.start();
    await eventually(() => (checks > 0 ? true : undefined));
    leader = undefined;
    election.observeRemoval(LEADER_KEY);
    await eventually(() => (election.term === undefined ? undefined : true));
    const electedAt = performance.now();
    await eventually(() => (renewedAt === undefined ? undefined : true));
    election.stop();
    expect((renewedAt ?? Infinity) - electedAt).to.be.lessThan(FIRST_RENEWAL_MS);
  });
});

describe('an election whose check fails', () => {
  // The host no longer followed the leadership: it neither renewed a lease nor stood for election.
  it('goes on checking', async () => {
    let checks = 0;
    const store = {
      get: () => {
        checks += 1;
        const value = JSON.stringify({ host: 'other', address: '127.0.0.1:1', epoch: checks });
        return Promise.resolve(ok({ key: LEADER_KEY, value, revision: checks }));
      },
    } as unknown as KeyValueStore;
    const election = createElection({
      store,
      host: 'own',
      address: '127.0.0.1:2',
      minLeaseMs: 1000,
      processors: 1,
      events: SILENT_EVENTS,
      eligible: () => true,
      onElected: () => undefined,
      onReacquired: () => undefined,
      onLeadershipLost: () => undefined,
      onStoreRejection: () => undefined,
      onLeaderChange: () => {
        if (checks === 1) throw new Error('unreadable');
      },
    });
    election.start();
    await eventually(() => (checks > 1 ? true : undefined));
    election.stop();
    expect(election.leader?.epoch).to.equal(2);
  });
});

describe('a leader that another host names', () => {
  const leaderOf = (host: string, epoch: number) => ({ host, epoch, address: '127.0.0.1:1' });
  let lost: { readonly isCutOff: boolean }[];
  let election: Election;

  beforeEach(async () => {
    lost = [];
    const store = {
      get: () => Promise.resolve(ok(undefined)),
      list: () => Promise.resolve(ok({ entries: [], revision: 1 })),
      grantLease: () => Promise.resolve(ok(1)),
      transact: () => Promise.resolve(ok({ kind: 'committed', revision: 10 })),
      renewLease: () => Promise.resolve(err({ kind: 'unknown', detail: 'no response' })),
    } as unknown as KeyValueStore;
    election = createElection({
      store,
      host: 'own',
      address: '127.0.0.1:2',
      minLeaseMs: 1000,
      processors: 1,
      events: SILENT_EVENTS,
      eligible: () => true,
      onElected: () => undefined,
      onReacquired: () => undefined,
      onLeadershipLost: (_reason, isCutOff) => {
        lost.push({ isCutOff });
      },
      onStoreRejection: () => undefined,
      onLeaderChange: () => undefined,
      random: () => 0,
    });
    election.start();
    await eventually(() => (election.term === undefined ? undefined : true));
  });

  afterEach(() => {
    election.stop();
  });

  // Guards against a leader that is cut off from the store and never learns that it has been replaced.
  it('ends the term if it was elected later', () => {
    election.observeReported(leaderOf('other', TOKENS_PER_TERM + 1));
    expect(lost).to.deep.equal([{ isCutOff: true }]);
    expect(election.leader?.host).to.equal('other');
  });

  // Hosts learn of elections at different times.
  it('does not end the term if it was elected before', () => {
    election.observeReported(leaderOf('other', TOKENS_PER_TERM));
    expect(lost).to.deep.equal([]);
    expect(election.leader?.host).to.equal('own');
  });
});
