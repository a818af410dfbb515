/**
 * Guards against a store call for each end of a run. Calls are billed and limited in rate, and in large cells the
 * ends alone would exceed the limit.
 */
import { expect } from 'chai';
import { ok } from 'neverthrow';
import { createProgressLog } from '../../src/controller/progress-log.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore, Transaction } from '../../src/records/index.js';

function createLog(batchDelayMs?: { order: number; outcome: number; note: number }) {
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
    ...(batchDelayMs === undefined ? {} : { batchDelayMs }),
  });
  const written = () => transactions.map(({ writes }) => writes.map(({ key }) => key));
  return { log, written };
}

describe('progress log', () => {
  it('writes the ends of runs together with the next order', async () => {
    const { log, written } = createLog({ order: 1, outcome: 1000, note: 1000 });
    const writes = [log.write('a', 'note'), log.write('b', 'outcome'), log.write('c', 'order')];
    expect(await Promise.all(writes)).to.deep.equal([true, true, true]);
    expect(written()).to.deep.equal([['a', 'b', 'c']]);
  });

  it('writes an end without an order after its delay', async () => {
    const { log, written } = createLog();
    expect(await log.write('a', 'note')).to.equal(true);
    expect(written()).to.deep.equal([['a']]);
  });

  it('does not delay an order by the delay of an earlier end', async () => {
    const { log, written } = createLog({ order: 1, outcome: 60_000, note: 60_000 });
    void log.write('a', 'note');
    await log.write('b', 'order');
    expect(written()).to.deep.equal([['a', 'b']]);
  });

  it('writes waiting records at once when drained', async () => {
    const { log, written } = createLog({ order: 1, outcome: 60_000, note: 60_000 });
    void log.write('a', 'note');
    await log.drain();
    expect(written()).to.deep.equal([['a']]);
  });
});
