/** Guards against records of the leadership that another writer left, and that keep hosts from electing a leader. */
import {
  awaitState,
  eventually,
  expectDefined,
  startTestCell,
  submit,
} from '../platform-path/support.js';
import type { TestCell } from '../platform-path/support.js';

const NESTED = '['.repeat(20_000) + ']'.repeat(20_000);

describe('a record of the leadership that another writer left', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 2, workers: 1 });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  function write(key: string, text: string) {
    const value = Buffer.from(text).toString('base64');
    cell.store.items.apply([{ key: `leadership/${key}`, value, lease: 0 }], []);
  }

  async function expectWorkDone() {
    await eventually(async () => await cell.leader().catch(() => undefined));
    const host = expectDefined(cell.hosts[0]);
    const { id } = await submit(host);
    await awaitState(host, id, 'completed');
  }

  const leaders: readonly (readonly [string, string])[] = [
    ['text', 'none'],
    ['nesting', NESTED],
    // Connecting to such an address throws, which ended the loop of the election.
    ['no address', JSON.stringify({ host: 'x', address: '300.0.0.1:99999', epoch: 1 })],
    ['an epoch without bounds', '{"host":"x","address":"127.0.0.1:1","epoch":1e400}'],
  ];
  for (const [what, text] of leaders) {
    it(`as the leader, with ${what}, is replaced`, async () => {
      write('leader', text);
      await expectWorkDone();
    });
  }

  for (const text of ['', 'none', '1e400', '-5', '9007199254740991']) {
    it(`as the epoch, ${JSON.stringify(text)}, does not keep a successor from ordering work`, async () => {
      await expectWorkDone();
      write('epoch', text);
      cell.kill(await cell.leader());
      await expectWorkDone();
    });
  }

  for (const text of ['none', '1e400', '-5', NESTED]) {
    it(`as the strongest host, ${text.slice(0, 8)}, does not keep a host from leading`, async () => {
      write('strongest', text);
      cell.kill(await cell.leader());
      await expectWorkDone();
    });
  }
});
