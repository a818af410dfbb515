import { expect } from 'chai';
import fc from 'fast-check';
import { createMemoryStore } from '../../src/platform/index.js';
import { FAULT_MODES, createFlakyStore } from '../platform/flaky-store.js';
import { GRACE_MS, createCell, rendezvousOrder, type Cell, type Member } from './cell.js';

const SUBJECTS = Array.from({ length: 12 }, (_, index) => `worker:w${String(index)}`);
const STORE_CALLS_IDLE = 1;
const SECOND_MS = 1000;

async function settle(...members: Member[]): Promise<void> {
  for (let round = 0; round < 4; round += 1) {
    for (const member of members) await member.claims.reconcile();
  }
}

/** Steps once a second until silence counts as death. */
async function waitOutGrace(cell: Cell, ...members: Member[]): Promise<void> {
  for (let elapsed = 0; elapsed < GRACE_MS; elapsed += SECOND_MS) {
    cell.now += SECOND_MS;
    await settle(...members);
  }
}

function namesOwned(member: Member): string[] {
  return member.claims.owned().map((claim) => claim.subject);
}

describe('createClaims', () => {
  it('gives every subject one owner when two hosts claim at once', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await Promise.all([a.claims.reconcile(), b.claims.reconcile()]);
    expect([...namesOwned(a), ...namesOwned(b)].sort()).to.deep.equal([...SUBJECTS].sort());
    for (const { subject, host } of a.claims.owned()) {
      expect(host).to.equal(rendezvousOrder(subject, ['a', 'b'])[0]);
    }
  });

  it('costs one read and no write per step while nothing changes', async () => {
    const store = createMemoryStore();
    const cell = createCell(SUBJECTS, store);
    const a = cell.boot('a', '1');
    await a.claims.reconcile();
    const before = store.calls();
    await a.claims.reconcile();
    expect(store.calls() - before).to.equal(STORE_CALLS_IDLE);
  });

  it('owns a subject once when the answer to its claim was lost', async () => {
    const shared = createMemoryStore();
    const cell = createCell(SUBJECTS, shared);
    const lossy = createFlakyStore(shared);
    lossy.faultMode = 'lost';
    const a = cell.boot('a', '1', lossy);
    await a.claims.reconcile();
    expect(namesOwned(a)).to.have.members(SUBJECTS);
    expect(a.claims.owned().every((claim) => claim.epoch === 1)).to.equal(true);
  });

  const formerOwners = [
    { name: 'dead', end: 'kill', reboot: false },
    { name: 'leaving', end: 'leave', reboot: false },
    { name: 'restarted with another boot id', end: 'kill', reboot: true },
  ] as const;
  for (const { name, end, reboot } of formerOwners) {
    it(`takes subjects over under a higher epoch from an owner that is ${name}`, async () => {
      const cell = createCell(SUBJECTS);
      const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
      await settle(a, b);
      const left = namesOwned(a);
      if (end === 'kill') cell.kill(a);
      else cell.leaving.add('a');
      const again = reboot ? cell.boot('a', '2') : b;
      await waitOutGrace(cell, again);
      const taken = again.claims.owned().filter((claim) => left.includes(claim.subject));
      expect(taken.map((claim) => claim.subject)).to.have.members(left);
      for (const claim of taken) expect(claim).to.deep.include({ epoch: 2, from: ['a/1'] });
    });
  }

  it('keeps all former owners until they are settled, so that no allotment is lost', async () => {
    const cell = createCell(['worker:w']);
    let member = cell.boot('a', '1');
    for (const bootId of ['2', '3']) {
      await member.claims.reconcile();
      cell.kill(member);
      member = cell.boot('a', bootId);
    }
    await member.claims.reconcile();
    expect(member.claims.ownerOf('worker:w')).to.deep.include({ epoch: 3, from: ['a/1', 'a/2'] });
    await member.claims.settle(['worker:w']);
    expect(member.claims.owned()).to.deep.equal([
      { subject: 'worker:w', host: 'a', bootId: '3', epoch: 3 },
    ]);
  });

  it('does not own a subject whose takeover failed, and tries again', async () => {
    const cell = createCell(['worker:w']);
    const a = cell.boot('a', '1');
    a.failGains = true;
    await a.claims.reconcile();
    expect(a.claims.owned()).to.deep.equal([]);
    a.failGains = false;
    await a.claims.reconcile();
    expect(namesOwned(a)).to.deep.equal(['worker:w']);
  });

  it('tells a paused owner of its loss when it wakes, and takes nothing from live hosts', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b, c] = [cell.boot('a', '1'), cell.boot('b', '1'), cell.boot('c', '1')];
    await settle(a, b, c);
    const lost = namesOwned(a);
    b.hears.delete('a');
    c.hears.delete('a');
    await waitOutGrace(cell, b, c);
    a.hears.clear();
    a.hears.add('a');
    expect(a.claims.epochOf('worker:w0')).to.equal(undefined);
    await a.claims.reconcile();
    expect(a.claims.epochOf('worker:w0')).to.equal(undefined);
    expect(namesOwned(a)).to.deep.equal([]);
    expect(a.losses).to.have.members(lost);
    expect(namesOwned(b).length + namesOwned(c).length).to.equal(SUBJECTS.length);
  });

  it('does not take subjects to and fro between hosts that each see the other dead', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await settle(a, b);
    a.hears.delete('b');
    b.hears.delete('a');
    for (let second = 0; second < 30; second += 1) {
      cell.now += SECOND_MS;
      await settle(a, b);
    }
    const epochs = a.claims.all().map((claim) => claim.epoch);
    expect(Math.max(...epochs)).to.be.at.most(2);
    expect([...namesOwned(a), ...namesOwned(b)].sort()).to.deep.equal([...SUBJECTS].sort());
  });

  it('leaves owners in place during an outage and takes over after it', async () => {
    const store = createMemoryStore();
    const cell = createCell(SUBJECTS, store);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await settle(a, b);
    const before = namesOwned(b);
    cell.kill(a);
    store.setMode('down');
    await waitOutGrace(cell, b);
    expect(namesOwned(b)).to.deep.equal(before);
    // Out of contact with the store and with every peer, b cannot know of higher epochs.
    expect(b.claims.epochOf('worker:w0')).to.equal(undefined);
    store.setMode('up');
    await waitOutGrace(cell, b);
    expect(b.claims.epochOf('worker:w0')).to.be.at.least(1);
    expect(namesOwned(b)).to.have.members(SUBJECTS);
  });

  it('leaves subjects that hash to a host without the store to the next host', async () => {
    const cell = createCell(SUBJECTS);
    const a = cell.boot('a', '1');
    cell.boot('b', '1');
    cell.cutOff.add('b');
    await a.claims.reconcile();
    expect(namesOwned(a)).to.have.members(SUBJECTS);
  });

  it('hands a new host its part at a bounded rate, never two owners at once', async () => {
    const cell = createCell(Array.from({ length: 60 }, (_, index) => `bucket:${String(index)}`));
    const a = cell.boot('a', '1');
    await a.claims.reconcile();
    const b = cell.boot('b', '1');
    let before = a.claims.owned().length;
    for (let step = 0; step < 20; step += 1) {
      await a.claims.reconcile();
      expect(before - a.claims.owned().length).to.be.at.most(8);
      before = a.claims.owned().length;
      await b.claims.reconcile();
      const both = namesOwned(a).filter((subject) => namesOwned(b).includes(subject));
      expect(both).to.deep.equal([]);
    }
    for (const subject of namesOwned(b))
      expect(rendezvousOrder(subject, ['a', 'b'])[0]).to.equal('b');
    expect(namesOwned(a).length + namesOwned(b).length).to.equal(60);
    expect(b.claims.owned()[0]).to.deep.include({ epoch: 2, from: ['a/1'] });
  });

  it('gives a subject that went away and came back a higher epoch than before', async () => {
    const cell = createCell(['worker:w', 'worker:v']);
    const a = cell.boot('a', '1');
    await a.claims.reconcile();
    cell.subjects.splice(0, 1);
    await a.claims.reconcile();
    expect(a.claims.ownerOf('worker:w')).to.equal(undefined);
    cell.subjects.push('worker:w');
    await a.claims.reconcile();
    expect(a.claims.ownerOf('worker:w')?.epoch).to.equal(2);
  });

  it('never lets two hosts gain a subject under one epoch, whatever fails', async () => {
    const kinds = [...FAULT_MODES, 'deafen', 'hear', 'release', 'restart'] as const;
    const event = fc.record({
      kind: fc.oneof(
        { weight: 12, arbitrary: fc.constant('step' as const) },
        { weight: 1, arbitrary: fc.constantFrom(...kinds) },
      ),
      node: fc.nat(2),
    });
    const events = fc.array(event, { minLength: 40, maxLength: 80 });
    let takeovers = 0;
    const property = fc.asyncProperty(events, async (list) => {
      const model = createModel();
      let steps: Promise<void>[] = [];
      for (const { kind, node } of list) {
        steps.push(model.act(kind, node));
        if (steps.length < 3) continue;
        await Promise.all(steps);
        steps = [];
      }
      await Promise.all(steps);
      expect(model.violations).to.deep.equal([]);
      takeovers += [...model.gained.keys()].filter((name) => !name.endsWith('@1')).length;
    });
    await fc.assert(property, { seed: 41, numRuns: 300 });
    expect(takeovers, 'the model takes subjects over').to.be.greaterThan(500);
  });
});

/** Three hosts whose stores and hearing fail. */
function createModel() {
  const shared = createMemoryStore();
  const timings = { startGraceMs: 0, pauseThresholdMs: 0, silentOwnerMs: 4000 };
  const cell = createCell(SUBJECTS.slice(0, 4), shared, timings);
  const gained = new Map<string, string>();
  const violations: string[] = [];
  const hosts = ['a', 'b', 'c'];
  let boots = 0;
  const boot = (host: string) => {
    boots += 1;
    const store = createFlakyStore(shared);
    const member = cell.boot(host, String(boots), store);
    member.claims.onGain(({ subject, epoch, bootId }) => {
      const name = `${subject}@${String(epoch)}`;
      if ((gained.get(name) ?? bootId) !== bootId) violations.push(name);
      gained.set(name, bootId);
      return Promise.resolve();
    });
    return { store, member };
  };
  const nodes = hosts.map(boot);

  async function act(kind: string, place: number): Promise<void> {
    const node = nodes[place];
    if (node === undefined) throw new Error('no such host');
    const { member, store } = node;
    cell.now += SECOND_MS;
    if (kind === 'step') await member.claims.reconcile();
    else if (kind === 'release') await member.claims.release(SUBJECTS);
    else if (kind === 'hear') for (const id of hosts) member.hears.add(id);
    else if (kind === 'deafen')
      for (const id of hosts) if (id !== member.id) member.hears.delete(id);
    if (kind === 'restart') {
      cell.kill(member);
      nodes[place] = boot(member.id);
    }
    store.faultMode = FAULT_MODES.find((fate) => fate === kind) ?? store.faultMode;
  }
  return { act, gained, violations };
}
