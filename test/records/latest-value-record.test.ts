/**
 * Guards against a record that keeps an old value because a write whose answer was lost is carried out late, after newer
 * ones of the same host.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { createLatestValueRecord } from '../../src/records/index.js';
import { createLateStore } from './late-store.js';
import type { Fate } from './late-store.js';

const KEY = 'backlog';

function createCase() {
  const lateStore = createLateStore();
  const leader = lateStore.put('leadership/leader', 'host-1');
  const { store } = lateStore;
  const record = createLatestValueRecord({ store, key: KEY, condition: () => leader });
  return { lateStore, record, value: () => lateStore.entries.get(KEY)?.value };
}

describe('a record of the latest value', () => {
  it('has it after some writes, whatever became of those before', async () => {
    const event = fc.oneof(
      fc.record({
        fate: fc.constantFrom<Fate>('answered', 'unanswered', 'late', 'late', 'rejected'),
        value: fc.constantFrom('a', 'b', 'c'),
      }),
      fc.constant('deliver' as const),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(event), async (events) => {
        const { lateStore, record, value } = createCase();
        let latest = 'a';
        for (const drawn of events) {
          if (drawn === 'deliver') {
            lateStore.deliverLate();
            continue;
          }
          lateStore.fate = drawn.fate;
          latest = drawn.value;
          const written = await record.write(latest);
          if (written) expect(value()).to.equal(latest);
        }
        lateStore.fate = 'answered';
        // The first call may find that an earlier write has taken effect.
        await record.write(latest);
        expect(await record.write(latest)).to.equal(true);
        expect(value()).to.equal(latest);
        lateStore.deliverLate();
        expect(value()).to.equal(latest);
      }),
      { seed: 20_261_206, numRuns: 500 },
    );
  });

  it('is not written again while its value is present', async () => {
    const { lateStore, record } = createCase();
    for (const value of ['a', 'a', 'b', 'b']) await record.write(value);
    expect(lateStore.sent).to.equal(2);
  });
});
