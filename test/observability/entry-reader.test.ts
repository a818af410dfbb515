/** Guards against a log line for each listing and change of an entry that another writer left in the store. */
import { expect } from 'chai';
import { createEntryReader, createMeters, SILENT_EVENTS } from '../../src/observability/index.js';

function createCase() {
  const logged: unknown[] = [];
  const meters = createMeters();
  const { read } = createEntryReader({
    prefix: 'servers/',
    event: 'worker-entry-unreadable',
    events: {
      ...SILENT_EVENTS,
      error: (event, fields) => {
        logged.push([event, fields]);
      },
    },
    meters,
  });
  return { read, logged, meters };
}

const decode = (text: string) => (text === 'odd' ? undefined : text);
const ENTRY = { key: 'servers/x', value: 'odd', revision: 7 };

describe('createEntryReader', () => {
  it('logs and counts an unreadable entry once until it can be read', async () => {
    const { read, logged, meters } = createCase();
    for (let count = 0; count < 5; count += 1) expect(read(ENTRY, decode)).to.equal(undefined);
    expect(logged).to.deep.equal([
      [
        'worker-entry-unreadable',
        { key: 'servers/x', revision: 7, length: 3, cause: 'the value is not valid' },
      ],
    ]);
    expect(read({ ...ENTRY, value: 'sound' }, decode)).to.equal('sound');
    read(ENTRY, decode);
    expect(logged).to.have.length(2);
    expect(await meters.render()).to.include(
      'sapphirewing_unreadable_entries_total{prefix="servers/"} 2',
    );
  });

  it('takes an entry whose decoder throws for an unreadable one', () => {
    const { read, logged } = createCase();
    const fail = (): string => {
      throw new Error('unreadable');
    };
    expect(read(ENTRY, fail)).to.equal(undefined);
    expect(read({ ...ENTRY, key: 'servers/y' }, decode)).to.equal(undefined);
    expect(logged).to.have.length(2);
  });

  it('logs a bounded number of entries', () => {
    const { read, logged } = createCase();
    for (let count = 0; count < 3000; count += 1) {
      read({ key: `servers/${String(count)}`, value: 'odd' }, decode);
    }
    expect(logged).to.have.length(1000);
  });
});
