import { expect } from 'chai';
import { refuse } from '../../src/model/index.js';
import { createRequestTable } from '../../src/requests/index.js';
import { createWorkRequest } from '../model/work-request.js';

const OUTCOME = refuse('cancelled', 'The request was cancelled.');

describe('createRequestTable', () => {
  it('removes only ended requests, by age and by count, so that its memory is bounded', () => {
    let now = 0;
    const table = createRequestTable({ now: () => now, keepMs: 1000, maxEnded: 2 });
    const ids = ['open', 'first', 'second', 'third'];
    for (const id of ids) table.add(createWorkRequest('clubs', id));
    for (const id of ids.slice(1)) table.end('clubs', id, OUTCOME);
    const known = () => ids.filter((id) => table.get('clubs', id) !== undefined);
    expect(known()).to.deep.equal(['open', 'second', 'third']);
    now = 1000;
    expect(known()).to.deep.equal(['open']);
  });

  it('removes the oldest ended requests once their answers take too many bytes', () => {
    const table = createRequestTable({ now: () => 0, maxEndedBytes: 100 });
    const ids = ['small', 'large', 'last'];
    for (const id of ids) table.add(createWorkRequest('clubs', id));
    for (const [index, id] of ids.entries()) {
      const body = new Uint8Array([10, 80, 20][index] ?? 0);
      table.end('clubs', id, { kind: 'done', status: 200, contentType: '', body, worker: 'w' });
    }
    expect(ids.map((id) => table.get('clubs', id)?.state)).to.deep.equal([
      undefined,
      'ended',
      'ended',
    ]);
  });

  it('resolves all waits when the request ends, and others with the present status after the wait', async () => {
    const table = createRequestTable({ now: () => 0 });
    table.add(createWorkRequest('clubs', 'a'));
    table.setState('clubs', 'a', 'running');
    expect((await table.wait('clubs', 'a', 1))?.state).to.equal('running');
    const waits = [table.wait('clubs', 'a', 60_000), table.wait('clubs', 'a', 60_000)];
    table.end('clubs', 'a', OUTCOME);
    table.end('clubs', 'a', refuse('no-capacity', 'A later outcome is ignored.'));
    table.setState('clubs', 'a', 'queued');
    for (const status of await Promise.all(waits)) {
      expect(status).to.deep.include({ state: 'ended', outcome: OUTCOME });
    }
    expect(await table.wait('other-team', 'a', 1)).to.equal(undefined);
  });
});
