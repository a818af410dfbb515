/**
 * Guards against tasks of a lost worker that wait for 19 s after each change of the leader (LOST), and against tasks that
 * are started elsewhere while their worker may still hold a lease (TWICE).
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { createSilentWorkers, SILENT_WORKERS_KEY } from '../../src/controller/silent-workers.js';
import type { SilentWorkers } from '../../src/controller/silent-workers.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import type { KeyValueStore, StoreEntry, Transaction } from '../../src/records/index.js';

const WORKER = { id: 'w1', born: 7 };
const LEASE_MS = 8000;
/** How long a leader that is cut off extends leases, and with them the longest lease that it may leave. */
const CUT_OFF_MS = 10_000;
const LONGEST_MS = CUT_OFF_MS + LEASE_MS;
const LEADER_KEY = 'leadership/leader';

/** `answered`: carried out at once. `unanswered`: likewise, but its answer is lost. `late`: carried out when told. */
type Fate = 'answered' | 'unanswered' | 'late' | 'rejected';

type Event =
  | { readonly kind: 'publish'; readonly fate: Fate }
  | { readonly kind: 'takeover'; readonly follows: boolean; readonly isOlder: boolean }
  | { readonly kind: 'wait'; readonly forMs: number }
  | {
      readonly kind: 'silence' | 'answer' | 'extend' | 'extend-by-former' | 'deliver' | 'look';
    };

interface Leader {
  readonly epoch: number;
  readonly electedAt: number;
  /** Undefined for a host of an older version, which knows nothing of the record. */
  readonly silentWorkers: SilentWorkers | undefined;
  /** Time of the last extension that the leader has sent; its lease is known to it only then. */
  extendedAt: number | undefined;
}

const scenario = fc.array(
  fc.oneof<fc.Arbitrary<Event>[]>(
    fc.record({
      kind: fc.constant('publish' as const),
      fate: fc.constantFrom<Fate>('answered', 'answered', 'unanswered', 'late', 'rejected'),
    }),
    fc.record({
      kind: fc.constant('takeover' as const),
      follows: fc.boolean(),
      isOlder: fc.constantFrom(...Array<boolean>(8).fill(false), true),
    }),
    fc.record({ kind: fc.constant('wait' as const), forMs: fc.constantFrom(500, 2500, 5000) }),
    fc.record({
      kind: fc.constantFrom(
        'silence' as const,
        'answer' as const,
        'extend' as const,
        'extend' as const,
        'extend-by-former' as const,
        'deliver' as const,
        'look' as const,
      ),
    }),
  ),
  { minLength: 30, maxLength: 100, size: 'max' },
);

/** One worker, the leaders that follow each other, and a store that keeps the record. */
async function play(events: readonly Event[]): Promise<readonly string[]> {
  let nowMs = 0;
  let revision = 1;
  let entry: StoreEntry | undefined;
  let late: Transaction[] = [];
  let fate: Fate = 'answered';
  /** When a host that does not lead has first seen the present revision of the record. */
  let seen: { revision: number; at: number } | undefined;
  let isSilent = false;
  /** Highest epoch that the worker has seen, and the end of its lease. */
  let reachedEpoch = 0;
  let leaseEnd = 0;
  let present = elect(TOKENS_PER_TERM, false);
  let former: { readonly leader: Leader; readonly replacedAt: number } | undefined;
  const violations: string[] = [];

  function execute({ conditions, writes }: Transaction) {
    const isLeader = conditions.some(({ key, revision: epoch }) => {
      return key === LEADER_KEY && epoch === present.epoch;
    });
    const expected = conditions.find(({ key }) => key === SILENT_WORKERS_KEY)?.revision;
    const isReplaced = expected !== undefined && expected !== (entry?.revision ?? 0);
    if (!isLeader || isReplaced) {
      return { kind: 'conflict', entries: entry === undefined ? [] : [entry] } as const;
    }
    revision += 1;
    entry = { key: SILENT_WORKERS_KEY, value: writes[0]?.value ?? '', revision };
    return { kind: 'committed', revision } as const;
  }

  function createStore(): KeyValueStore {
    return {
      get: () => Promise.resolve(ok(entry)),
      transact: (transaction: Transaction) => {
        if (fate === 'rejected') return Promise.resolve(err({ kind: 'rejected', detail: '' }));
        if (fate === 'late') late.push(transaction);
        const outcome = fate === 'late' ? undefined : execute(transaction);
        return Promise.resolve(
          fate === 'answered' && outcome !== undefined
            ? ok(outcome)
            : err({ kind: 'unknown', detail: '' }),
        );
      },
    } as unknown as KeyValueStore;
  }

  function elect(epoch: number, follows: boolean, isOlder = false): Leader {
    const silentWorkers = createSilentWorkers({
      store: createStore(),
      epoch,
      condition: () => ({ key: LEADER_KEY, revision: epoch }),
      seen: follows ? seen : undefined,
      now: () => nowMs,
    });
    silentWorkers.restore(entry);
    return {
      epoch,
      electedAt: nowMs,
      silentWorkers: isOlder ? undefined : silentWorkers,
      extendedAt: undefined,
    };
  }

  const leaseBound = ({ silentWorkers, electedAt, extendedAt }: Leader) =>
    extendedAt === undefined
      ? (silentWorkers?.leaseEndOf(WORKER) ?? electedAt + LONGEST_MS)
      : extendedAt + LEASE_MS;

  function extend(leader: Leader) {
    if (leader.epoch < reachedEpoch || leader.silentWorkers?.mayExtend(WORKER) === false) return;
    reachedEpoch = leader.epoch;
    leader.extendedAt = nowMs;
    leaseEnd = Math.max(leaseEnd, nowMs + LEASE_MS);
  }

  async function apply(drawn: Event) {
    if (drawn.kind === 'wait') nowMs += drawn.forMs;
    if (drawn.kind === 'silence') isSilent = true;
    if (drawn.kind === 'answer') isSilent = false;
    if (drawn.kind === 'extend' && !isSilent) extend(present);
    // The worker is silent for the present leader, not for the one that was cut off from the store.
    if (drawn.kind === 'extend-by-former' && former !== undefined) {
      if (nowMs - former.replacedAt < CUT_OFF_MS) extend(former.leader);
    }
    if (drawn.kind === 'look' && entry?.revision !== seen?.revision && entry !== undefined) {
      seen = { revision: entry.revision, at: nowMs };
    }
    if (drawn.kind === 'deliver') {
      for (const transaction of late) execute(transaction);
      late = [];
    }
    if (drawn.kind === 'takeover') {
      former = { leader: present, replacedAt: nowMs };
      const epoch = present.epoch + (drawn.isOlder ? 1 : TOKENS_PER_TERM);
      present = elect(epoch, drawn.follows, drawn.isOlder);
      isSilent = true;
    }
    if (drawn.kind === 'publish') {
      fate = drawn.fate;
      const leaseLeftMs = Math.max(0, leaseBound(present) - nowMs);
      const silent = isSilent ? [{ incarnation: WORKER, leaseLeftMs }] : [];
      await present.silentWorkers?.publish(silent);
    }
  }

  for (const [index, drawn] of events.entries()) {
    await apply(drawn);
    if (present.silentWorkers === undefined || leaseBound(present) >= leaseEnd) continue;
    violations.push(
      `after event ${String(index)} the leader counts on ${String(leaseBound(present))} instead of ${String(leaseEnd)}`,
    );
  }
  return violations;
}

describe('the record of silent workers', () => {
  it('never lets a successor take a lease for expired that may last', async () => {
    await fc.assert(
      fc.asyncProperty(scenario, async (events) => {
        expect(await play(events)).to.deep.equal([]);
      }),
      { seed: 20_261_206, numRuns: 30_000 },
    );
  });

  describe('of a worker that was lost', () => {
    function createTerm(epoch: number, entry: () => StoreEntry | undefined, at: () => number) {
      const writes: string[] = [];
      const store = {
        get: () => Promise.resolve(ok(entry())),
        transact: ({ writes: [write] }: Transaction) => {
          writes.push(write?.value ?? '');
          return Promise.resolve(ok({ kind: 'committed', revision: writes.length + 1 }));
        },
      } as unknown as KeyValueStore;
      const silentWorkers = createSilentWorkers({
        store,
        epoch,
        condition: () => ({ key: LEADER_KEY, revision: epoch }),
        now: at,
      });
      silentWorkers.restore(entry());
      return { silentWorkers, writes };
    }

    // Each change of the leader began the wait anew.
    it('tells each further leader what is left, so that no change begins the wait anew', async () => {
      let nowMs = 0;
      let entry: StoreEntry | undefined;
      const first = createTerm(
        TOKENS_PER_TERM,
        () => undefined,
        () => nowMs,
      );
      await first.silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 7000 }]);
      entry = { key: SILENT_WORKERS_KEY, value: first.writes[0] ?? '', revision: 2 };
      nowMs = 1500;
      const second = createTerm(
        2 * TOKENS_PER_TERM,
        () => entry,
        () => nowMs,
      );
      const end = second.silentWorkers.leaseEndOf(WORKER) ?? Infinity;
      expect(end).to.equal(8500);
      nowMs = 3500;
      await second.silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: end - nowMs }]);
      entry = { key: SILENT_WORKERS_KEY, value: second.writes[0] ?? '', revision: 3 };
      nowMs = 4000;
      const third = createTerm(
        3 * TOKENS_PER_TERM,
        () => entry,
        () => nowMs,
      );
      expect(third.silentWorkers.leaseEndOf(WORKER)).to.equal(9000);
    });

    it('is not trusted after a leader of an older version, which extends leases all the same', async () => {
      const first = createTerm(
        TOKENS_PER_TERM,
        () => undefined,
        () => 0,
      );
      await first.silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 7000 }]);
      const entry = { key: SILENT_WORKERS_KEY, value: first.writes[0] ?? '', revision: 2 };
      const next = createTerm(
        2 * TOKENS_PER_TERM + 1,
        () => entry,
        () => 0,
      );
      expect(next.silentWorkers.leaseEndOf(WORKER)).to.equal(undefined);
    });

    // The record named the former end for up to 2 s after an answer had shown that a later incarnation has an order.
    it('is written again when a lease ends later than it says', async () => {
      let nowMs = 0;
      const { silentWorkers, writes } = createTerm(
        TOKENS_PER_TERM,
        () => undefined,
        () => nowMs,
      );
      await silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 6800 }]);
      nowMs = 200;
      await silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 6600 }]);
      expect(writes).to.have.length(1);
      nowMs = 400;
      await silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 10_700 }]);
      expect(writes).to.have.length(2);
      expect(writes.at(-1)).to.include('10700');
    });

    // A run of the recorded incarnation that has been handed over to a later one was at work there when a successor, which
    // found it at the former one, took it for lapsed.
    it('keeps the lease of its later incarnations from being extended', async () => {
      const { silentWorkers } = createTerm(
        TOKENS_PER_TERM,
        () => undefined,
        () => 0,
      );
      const later = { ...WORKER, born: WORKER.born + 1 };
      expect(silentWorkers.mayExtend(later)).to.equal(true);
      await silentWorkers.publish([{ incarnation: WORKER, leaseLeftMs: 6800 }]);
      expect(silentWorkers.mayExtend(later)).to.equal(false);
      await silentWorkers.publish([]);
      expect(silentWorkers.mayExtend(later)).to.equal(true);
    });
  });
});
