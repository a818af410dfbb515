/**
 * Guards against a leader that runs out of memory because the hosts accept more jobs than it can hold, and against false
 * refusals.
 */
import { expect } from 'chai';
import { awaitState, CALLER, eventually, expectDefined, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

/** Room for a few small jobs. */
const OPEN_BYTES_LIMIT = 20_000;
/** Far more than there is room for. */
const JOBS = 60;

describe('a cell that holds as much open work as it can', () => {
  let cell: TestCell;

  beforeEach(async () => {
    cell = await startTestCell({ hosts: 3, workers: 1, openBytesLimit: OPEN_BYTES_LIMIT });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
    await eventually(() => cell.store.items.get('leadership/open-work'));
  });

  afterEach(async () => {
    await cell.close();
  });

  /** Submits jobs at all hosts in turn until each of them has refused one; they need more than the cell has. */
  async function fill() {
    const accepted: string[] = [];
    const refusedBy = new Map<number, string>();
    for (let count = 0; count < JOBS && refusedBy.size < cell.hosts.length; count += 1) {
      const number = count % cell.hosts.length;
      const { id, answer } = await submit(expectDefined(cell.hosts[number]), {
        steps: [{ count: 1, cpu: 10_000_000 }],
      });
      if (answer.kind === 'accepted') accepted.push(id);
      else {
        expect(answer).to.include({ kind: 'refused' });
        expect(answer).to.have.property('retryAfterS').that.is.greaterThan(0);
        refusedBy.set(number, id);
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    expect(refusedBy.size).to.equal(cell.hosts.length);
    return { accepted, refused: [...refusedBy.values()] };
  }

  it('refuses further jobs at each host before they are accepted', async () => {
    const { accepted, refused } = await fill();
    expect(accepted.length).to.be.within(1, 12);
    for (const id of refused) expect(cell.store.items.get(`jobs/${id}`)).to.equal(undefined);
  });

  it('accepts a job again that it has accepted before', async () => {
    const { accepted } = await fill();
    const id = expectDefined(accepted[0]);
    for (const host of cell.hosts) {
      const caller = { ...CALLER, path: `${CALLER.path}${id}` };
      const work = { id, spec: '', steps: [] };
      const answer = await host.service.submit(caller, work, performance.now() + 2000);
      expect(answer).to.deep.equal({ kind: 'accepted' });
    }
  });

  it('accepts jobs again when others have ended', async () => {
    const { accepted } = await fill();
    const host = expectDefined(cell.hosts[0]);
    for (const id of accepted) await host.service.cancel(id, performance.now() + 2000);
    await eventually(async () => {
      const { id, answer } = await submit(host, { steps: [{ count: 1, cpu: 100 }] });
      if (answer.kind !== 'accepted') return undefined;
      await awaitState(host, id, 'completed');
      return true;
    });
  });

  it('refuses jobs under the next leader, too', async () => {
    await fill();
    const written = expectDefined(cell.store.items.get('leadership/open-work')).revision;
    cell.kill(await cell.leader());
    await eventually(async () => await cell.leader().catch(() => undefined));
    const host = expectDefined(cell.hosts[0]);
    await eventually(() => {
      const record = cell.store.items.get('leadership/open-work');
      return record !== undefined && record.revision > written ? record : undefined;
    });
    const steps = Array.from({ length: 20 }, () => ({ count: 1, cpu: 1 }));
    const { answer } = await submit(host, { steps });
    expect(answer.kind).to.equal('refused');
  });
});
