import { expect } from 'chai';
import fc from 'fast-check';
import { createMemoryStore } from '../../src/platform/index.js';
import { FAULT_MODES, createFlakyStore } from '../platform/flaky-store.js';
import { GRACE_MS, createCell, rendezvousOrder, type Cell, type Member } from './cell.js';

const SUBJECTS = Array.from({ length: 12 }, (_, index) => `worker:w${String(index)}`);
const STORE_CALLS_IDLE = 1;
const SECOND_MS = 1000;

async function reconcileRounds(...members: Member[]): Promise<void> {
  for (let round = 0; round < 4; round += 1) {
    for (const member of members) await member.claims.reconcile();
  }
}

/** Reconciles once a second until a silent host counts as dead. */
async function advancePastGrace(cell: Cell, ...members: Member[]): Promise<void> {
  for (let elapsed = 0; elapsed < GRACE_MS; elapsed += SECOND_MS) {
    cell.now += SECOND_MS;
    await reconcileRounds(...members);
  }
}

function ownedSubjects(member: Member): string[] {
  return member.claims.owned().map((claim) => claim.subject);
}

describe('createClaims', () => {
  it('assigns every subject to one owner when two hosts claim concurrently', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await Promise.all([a.claims.reconcile(), b.claims.reconcile()]);
    expect([...ownedSubjects(a), ...ownedSubjects(b)].sort()).to.deep.equal([...SUBJECTS].sort());
    for (const { subject, host } of a.claims.owned()) {
      expect(host).to.equal(rendezvousOrder(subject, ['a', 'b'])[0]);
    }
  });

  it('makes one read and no write per step while nothing changes', async () => {
    const store = createMemoryStore();
    const cell = createCell(SUBJECTS, store);
    const a = cell.boot('a', '1');
    await a.claims.reconcile();
    const before = store.calls();
    await a.claims.reconcile();
    expect(store.calls() - before).to.equal(STORE_CALLS_IDLE);
  });

  it('does not claim a subject twice when the response to its claim was lost', async () => {
    const shared = createMemoryStore();
    const cell = createCell(SUBJECTS, shared);
    const lossy = createFlakyStore(shared);
    lossy.faultMode = 'lost';
    const a = cell.boot('a', '1', lossy);
    await a.claims.reconcile();
    expect(ownedSubjects(a)).to.have.members(SUBJECTS);
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
      await reconcileRounds(a, b);
      const formerSubjects = ownedSubjects(a);
      if (end === 'kill') cell.kill(a);
      else cell.leaving.add('a');
      const successor = reboot ? cell.boot('a', '2') : b;
      await advancePastGrace(cell, successor);
      const taken = successor.claims
        .owned()
        .filter((claim) => formerSubjects.includes(claim.subject));
      expect(taken.map((claim) => claim.subject)).to.have.members(formerSubjects);
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

  it('does not own a subject whose takeover failed, and retries it', async () => {
    const cell = createCell(['worker:w']);
    const a = cell.boot('a', '1');
    a.failTakeovers = true;
    await a.claims.reconcile();
    expect(a.claims.owned()).to.deep.equal([]);
    a.failTakeovers = false;
    await a.claims.reconcile();
    expect(ownedSubjects(a)).to.deep.equal(['worker:w']);
  });

  it('notifies an owner of lost subjects after a pause and takes nothing over from live hosts', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b, c] = [cell.boot('a', '1'), cell.boot('b', '1'), cell.boot('c', '1')];
    await reconcileRounds(a, b, c);
    const lost = ownedSubjects(a);
    b.heardHosts.delete('a');
    c.heardHosts.delete('a');
    await advancePastGrace(cell, b, c);
    a.heardHosts.clear();
    a.heardHosts.add('a');
    expect(a.claims.epochOf('worker:w0')).to.equal(undefined);
    await a.claims.reconcile();
    expect(a.claims.epochOf('worker:w0')).to.equal(undefined);
    expect(ownedSubjects(a)).to.deep.equal([]);
    expect(a.lostSubjects).to.have.members(lost);
    expect(ownedSubjects(b).length + ownedSubjects(c).length).to.equal(SUBJECTS.length);
  });

  it('does not move subjects back and forth between hosts that each consider the other dead', async () => {
    const cell = createCell(SUBJECTS);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await reconcileRounds(a, b);
    a.heardHosts.delete('b');
    b.heardHosts.delete('a');
    for (let second = 0; second < 30; second += 1) {
      cell.now += SECOND_MS;
      await reconcileRounds(a, b);
    }
    const epochs = a.claims.all().map((claim) => claim.epoch);
    expect(Math.max(...epochs)).to.be.at.most(2);
    expect([...ownedSubjects(a), ...ownedSubjects(b)].sort()).to.deep.equal([...SUBJECTS].sort());
  });

  it('keeps the owners during an outage of the store and takes over from dead ones after it', async () => {
    const store = createMemoryStore();
    const cell = createCell(SUBJECTS, store);
    const [a, b] = [cell.boot('a', '1'), cell.boot('b', '1')];
    await reconcileRounds(a, b);
    const before = ownedSubjects(b);
    cell.kill(a);
    store.setMode('down');
    await advancePastGrace(cell, b);
    expect(ownedSubjects(b)).to.deep.equal(before);
    // Without contact to the store and to any peer, b cannot learn about higher epochs.
    expect(b.claims.epochOf('worker:w0')).to.equal(undefined);
    store.setMode('up');
    await advancePastGrace(cell, b);
    expect(b.claims.epochOf('worker:w0')).to.be.at.least(1);
    expect(ownedSubjects(b)).to.have.members(SUBJECTS);
  });

  it('assigns subjects that hash to a host without store access to the next host', async () => {
    const cell = createCell(SUBJECTS);
    const a = cell.boot('a', '1');
    cell.boot('b', '1');
    cell.withoutStore.add('b');
    await a.claims.reconcile();
    expect(ownedSubjects(a)).to.have.members(SUBJECTS);
  });

  it('hands subjects over to a new host at a bounded rate and never has two owners at once', async () => {
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
      const both = ownedSubjects(a).filter((subject) => ownedSubjects(b).includes(subject));
      expect(both).to.deep.equal([]);
    }
    for (const subject of ownedSubjects(b))
      expect(rendezvousOrder(subject, ['a', 'b'])[0]).to.equal('b');
    expect(ownedSubjects(a).length + ownedSubjects(b).length).to.equal(60);
    expect(b.claims.owned()[0]).to.deep.include({ epoch: 2, from: ['a/1'] });
  });

  it('gives a subject that was removed and added again a higher epoch than before', async () => {
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

  it('never lets two hosts gain a subject under the same epoch, whatever fails', async () => {
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
      takeovers += [...model.gainedClaims.keys()].filter((name) => !name.endsWith('@1')).length;
    });
    await fc.assert(property, { seed: 41, numRuns: 300 });
    expect(takeovers, 'the model takes subjects over').to.be.greaterThan(500);
  });
});

/** Creates a model of three hosts whose store calls and heartbeats can fail. */
function createModel() {
  const shared = createMemoryStore();
  const timings = { startGraceMs: 0, pauseThresholdMs: 0, silentOwnerMs: 4000 };
  const cell = createCell(SUBJECTS.slice(0, 4), shared, timings);
  const gainedClaims = new Map<string, string>();
  const violations: string[] = [];
  const hosts = ['a', 'b', 'c'];
  let boots = 0;
  const boot = (host: string) => {
    boots += 1;
    const store = createFlakyStore(shared);
    const member = cell.boot(host, String(boots), store);
    member.claims.onGain(({ subject, epoch, bootId }) => {
      const name = `${subject}@${String(epoch)}`;
      if ((gainedClaims.get(name) ?? bootId) !== bootId) violations.push(name);
      gainedClaims.set(name, bootId);
      return Promise.resolve();
    });
    return { store, member };
  };
  const nodes = hosts.map(boot);

  async function act(kind: string, index: number): Promise<void> {
    const node = nodes[index];
    if (node === undefined) throw new Error('no such host');
    const { member, store } = node;
    cell.now += SECOND_MS;
    if (kind === 'step') await member.claims.reconcile();
    else if (kind === 'release') await member.claims.release(SUBJECTS);
    else if (kind === 'hear') for (const id of hosts) member.heardHosts.add(id);
    else if (kind === 'deafen')
      for (const id of hosts) if (id !== member.id) member.heardHosts.delete(id);
    if (kind === 'restart') {
      cell.kill(member);
      nodes[index] = boot(member.id);
    }
    store.faultMode = FAULT_MODES.find((fate) => fate === kind) ?? store.faultMode;
  }
  return { act, gainedClaims, violations };
}
