/**
 * Guards against a call to the store for each end of a task: calls are billed and limited, and at the size of
 * the grown sites the ends alone would exceed the store's rate.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { createProgressLog } from '../../src/controller/progress-log.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore, Transaction } from '../../src/records/index.js';

function createLog(gatherMs?: { order: number; outcome: number; note: number }) {
  const transactions: Transaction[] = [];
  const store = {
    transact: (transaction: Transaction) => {
      transactions.push(transaction);
      return Promise.resolve(ok({ kind: 'committed', revision: transactions.length }));
    },
  } as unknown as KeyValueStore;
  const log = createProgressLog({
    store,
    condition: { key: 'leader', revision: 1 },
    keyOf: (job) => job,
    encode: (job) => `progress of ${job}`,
    events: SILENT_EVENTS,
    onLeadershipLost: () => undefined,
    onLeaderKeyMissing: () => undefined,
    ...(gatherMs === undefined ? {} : { gatherMs }),
  });
  const written = () => transactions.map(({ writes }) => writes.map(({ key }) => key));
  return { log, written };
}

describe('the log of progress', () => {
  it('writes the ends of tasks with the next order instead of by themselves', async () => {
    const { log, written } = createLog({ order: 1, outcome: 1000, note: 1000 });
    const writes = [log.write('a', 'note'), log.write('b', 'outcome'), log.write('c', 'order')];
    expect(await Promise.all(writes)).to.deep.equal([true, true, true]);
    expect(written()).to.deep.equal([['a', 'b', 'c']]);
  });

  it('writes an end by itself when no order comes', async () => {
    const { log, written } = createLog();
    expect(await log.write('a', 'note')).to.equal(true);
    expect(written()).to.deep.equal([['a']]);
  });

  it('does not make an order wait for the time of an earlier end', async () => {
    const { log, written } = createLog({ order: 1, outcome: 60_000, note: 60_000 });
    void log.write('a', 'note');
    await log.write('b', 'order');
    expect(written()).to.deep.equal([['a', 'b']]);
  });

  it('writes what waits at once before a planned stop', async () => {
    const { log, written } = createLog({ order: 1, outcome: 60_000, note: 60_000 });
    void log.write('a', 'note');
    await log.drain();
    expect(written()).to.deep.equal([['a']]);
  });
});
