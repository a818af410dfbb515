/**
 * Guards against a record that keeps an old value because a write whose answer was lost is carried out late, after newer
 * ones of the same leader.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { createLeaderRecord } from '../../src/controller/leader-record.js';
import type { KeyValueStore, Transaction } from '../../src/records/index.js';

const KEY = 'backlog';
const LEADER = { key: 'leadership/leader', revision: 1 };

/** `answered`: carried out at once. `unanswered`: likewise, but its answer is lost. `late`: carried out when told. */
type Fate = 'answered' | 'unanswered' | 'late' | 'rejected';

/** A store in memory with one key beside the leader's. */
function createStore() {
  let revision = 5;
  let value: string | undefined;
  let valueRevision = 0;
  let late: Transaction[] = [];
  const fake = { fate: 'answered' as Fate };

  function execute({ conditions, writes }: Transaction) {
    const expected = conditions.find(({ key }) => key === KEY);
    if (expected !== undefined && expected.revision !== valueRevision) {
      const entries = value === undefined ? [] : [{ key: KEY, value, revision: valueRevision }];
      return { kind: 'conflict', entries: [{ ...LEADER, value: '' }, ...entries] } as const;
    }
    revision += 1;
    valueRevision = revision;
    value = writes[0]?.value;
    return { kind: 'committed', revision } as const;
  }

  const store = {
    get: () =>
      Promise.resolve(
        ok(value === undefined ? undefined : { key: KEY, value, revision: valueRevision }),
      ),
    transact: (transaction: Transaction) => {
      if (fake.fate === 'rejected')
        return Promise.resolve(err({ kind: 'rejected', detail: 'slow' }));
      if (fake.fate === 'late') late.push(transaction);
      const outcome = fake.fate === 'late' ? undefined : execute(transaction);
      return Promise.resolve(
        fake.fate === 'answered' && outcome !== undefined
          ? ok(outcome)
          : err({ kind: 'unknown', detail: 'no response' }),
      );
    },
  } as unknown as KeyValueStore;

  return {
    store,
    fake,
    value: () => value,
    deliverLate: () => {
      for (const transaction of late) execute(transaction);
      late = [];
    },
  };
}

describe('a record of the leader', () => {
  it('has the latest value after some writes, whatever became of those before', async () => {
    const event = fc.oneof(
      fc.record({
        fate: fc.constantFrom<Fate>('answered', 'unanswered', 'late', 'late', 'rejected'),
        value: fc.constantFrom('a', 'b', 'c'),
      }),
      fc.constant('deliver' as const),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(event), async (events) => {
        const { store, fake, value, deliverLate } = createStore();
        const record = createLeaderRecord({ store, key: KEY, condition: () => LEADER });
        let latest = 'a';
        for (const drawn of events) {
          if (drawn === 'deliver') {
            deliverLate();
            continue;
          }
          fake.fate = drawn.fate;
          latest = drawn.value;
          await record.write(latest);
        }
        fake.fate = 'answered';
        // The first call may find that an earlier write has taken effect.
        await record.write(latest);
        await record.write(latest);
        expect(value()).to.equal(latest);
        deliverLate();
        expect(value()).to.equal(latest);
      }),
      { seed: 20_261_206, numRuns: 500 },
    );
  });

  it('is not written again while its value is present', async () => {
    const { store } = createStore();
    let writes = 0;
    const counting: KeyValueStore = {
      ...store,
      transact: (transaction) => {
        writes += 1;
        return store.transact(transaction);
      },
    };
    const record = createLeaderRecord({ store: counting, key: KEY, condition: () => LEADER });
    for (const value of ['a', 'a', 'b', 'b']) await record.write(value);
    expect(writes).to.equal(2);
  });
});
