import { expect } from 'chai';
import fc from 'fast-check';
import { createJournal, type Journal, type JournalOptions } from '../../src/journal/index.js';
import type { Outcome, WorkRequest } from '../../src/model/index.js';
import { createMemoryStore, type Store, type StoreError } from '../../src/platform/index.js';
import { createWorkRequest } from '../model/work-request.js';
import { FAULT_MODES, createFlakyStore, type FaultMode } from '../platform/flaky-store.js';

const TEAM = 'tanners';
const ANSWER = { status: 200, contentType: 'application/octet-stream', worker: 'w' };
const DONE: Outcome = { kind: 'done', body: Uint8Array.of(0, 255, 128), ...ANSWER };
const NEVER = () => false;
const ALWAYS = () => true;

function createJob(id: string, input = Uint8Array.of(0, 200, 255)): WorkRequest {
  return createWorkRequest(TEAM, id, input);
}

function createStart(attempt = 1, index = 0) {
  return { index, worker: 'w', bootId: 'b', attempt };
}

function openJournal(store: Store, owner: string, options: Partial<JournalOptions> = {}): Journal {
  const timings = {
    batchDelayMs: 0,
    lazyWriteDelayMs: 60_000,
    retries: { attempts: 4, delayMs: 0 },
  };
  return createJournal({ store, dataCentre: 'dc', owner, now: () => 0, ...timings, ...options });
}

interface StoredSegment {
  readonly owner: string;
  readonly jobs: readonly { readonly request: { readonly id: string }; readonly state: string }[];
}

async function readSegments(store: Store): Promise<StoredSegment[]> {
  const values = (await store.list('jobs/'))._unsafeUnwrap();
  return [...values.values()].map(
    ({ value }) => (JSON.parse(value) as { data: StoredSegment }).data,
  );
}

async function acceptAll(journal: Journal, ids: readonly string[]): Promise<string[]> {
  const results = await Promise.all(ids.map((id) => journal.accept(createJob(id))));
  return results.map((result) => (result.isOk() ? 'ok' : result.error.kind));
}

function jobIds(jobs: readonly { readonly request: { readonly id: string } }[]): string[] {
  return jobs.map(({ request }) => request.id);
}

/** Ids of all jobs in the store. */
async function readJobIds(store: Store): Promise<string[]> {
  return (await readSegments(store)).flatMap(({ jobs }) => jobIds(jobs));
}

function createIds(count: number): string[] {
  return Array.from({ length: count }, (_, n) => `job-${String(n)}`);
}

describe('createJournal', () => {
  it('batches jobs of one turn into one write and keeps segments within their limits', async () => {
    const store = createMemoryStore();
    const journal = openJournal(store, 'a/1');
    await acceptAll(journal, createIds(40));
    expect(store.calls()).to.equal(1);
    await acceptAll(journal, createIds(100));
    const sizes = (await readSegments(store)).map(({ jobs }) => jobs.length);
    expect(sizes).to.deep.equal([64, 36]);
    const big = new Uint8Array(300_000);
    for (const id of ['x', 'y', 'z']) await journal.accept(createJob(id, big));
    for (const { value } of (await store.list('jobs/'))._unsafeUnwrap().values()) {
      expect(Buffer.byteLength(value)).to.be.at.most(900_000);
    }
    const tooLarge = await journal.accept(createJob('huge', new Uint8Array(700_000)));
    expect(tooLarge._unsafeUnwrapErr().detail).to.contain('lower maxInputBytes of pattern');
  });

  it('passes a job with its bytes, starts and end to the adopting host', async () => {
    const store = createMemoryStore();
    const journal = openJournal(store, 'a/1');
    await acceptAll(journal, ['queued', 'running', 'ended']);
    await journal.started(TEAM, 'running', createStart(1));
    await journal.started(TEAM, 'running', createStart(2));
    journal.ended(TEAM, 'ended', DONE);
    await journal.flush();
    const peer = openJournal(store, 'b/1');
    const adopted = (await peer.adopt((owner) => owner === 'a/1'))._unsafeUnwrap();
    const input = Buffer.from([0, 200, 255]);
    expect(adopted).to.deep.equal([
      { request: { ...createJob('queued'), input }, state: 'queued', tasks: [] },
      { request: { ...createJob('running'), input }, state: 'running', tasks: [createStart(2)] },
    ]);
    const ended = (await peer.find(TEAM, 'ended'))._unsafeUnwrap();
    expect(ended?.outcome).to.deep.equal({ ...DONE, body: Buffer.from([0, 255, 128]) });
    expect(ended?.request.input.byteLength).to.equal(0);
    const other = (await openJournal(store, 'c/1').find(TEAM, 'queued'))._unsafeUnwrap();
    expect(other?.state).to.equal('queued');
  });

  const unavailable = Array<FaultMode>(8).fill('down');
  const faults: [name: string, fates: FaultMode[], answer: string, kept: boolean][] = [
    ['the store is down', ['down'], 'unavailable', false],
    ['the response is lost', ['lost'], 'ok', true],
    ['the write is lost', ['dropped'], 'ok', true],
    ['the write is delayed', ['late'], 'ok', true],
    ['the read-back fails once', ['lost', 'down'], 'ok', true],
    ['the store becomes unavailable after the write', ['lost', ...unavailable], 'in-doubt', true],
    [
      'the store becomes unavailable before the write',
      ['dropped', ...unavailable],
      'in-doubt',
      false,
    ],
  ];
  for (const [name, fates, answer, kept] of faults) {
    it(`returns ${answer} for a job when ${name}, and never refuses one that the store contains`, async () => {
      const memory = createMemoryStore();
      const store = createFlakyStore(memory);
      const journal = openJournal(store, 'a/1');
      store.nextFaultModes = [...fates];
      expect(await acceptAll(journal, ['job'])).to.deep.equal([answer]);
      expect((await readJobIds(memory)).length > 0).to.equal(kept);
      store.nextFaultModes = [];
      await journal.flush();
      expect((await readJobIds(memory)).length > 0).to.equal(answer === 'ok');
      expect(await acceptAll(journal, ['job'])).to.deep.equal(['ok']);
    });
  }

  it('does not refuse or duplicate a job in doubt when it is accepted again', async () => {
    const memory = createMemoryStore();
    const store = createFlakyStore(memory);
    const journal = openJournal(store, 'a/1');
    store.nextFaultModes = ['lost', ...Array<FaultMode>(4).fill('down')];
    expect(await acceptAll(journal, ['job'])).to.deep.equal(['in-doubt']);
    store.nextFaultModes = ['down'];
    const [, again] = await Promise.all([journal.flush(), acceptAll(journal, ['job'])]);
    expect(again).to.deep.equal(['in-doubt']);
    expect(await acceptAll(journal, ['job'])).to.deep.equal(['ok']);
    expect(await readJobIds(memory)).to.deep.equal(['job']);
  });

  it('lets exactly one of several hosts adopt a segment', async () => {
    const store = createMemoryStore();
    await acceptAll(openJournal(store, 'a/1'), createIds(3));
    const peers = ['b/1', 'c/1'].map((owner) => openJournal(store, owner));
    const adopted = await Promise.all(peers.map((peer) => peer.adopt((owner) => owner === 'a/1')));
    const counts = adopted.map((result) => result._unsafeUnwrap().length);
    expect(counts.sort()).to.deep.equal([0, 3]);
  });

  it('does not overwrite jobs that a live owner adds during an adoption', async () => {
    const memory = createMemoryStore();
    const a = openJournal(memory, 'a/1');
    await acceptAll(a, ['first']);
    const slow: Store = {
      ...memory,
      compareAndSwap: (key, version, value) =>
        a.accept(createJob('second')).andThen(() => memory.compareAndSwap(key, version, value)),
    };
    const adopted = await openJournal(slow, 'b/1').adopt(ALWAYS);
    expect(adopted._unsafeUnwrap()).to.deep.equal([]);
    const [segment] = await readSegments(memory);
    expect(segment?.owner).to.equal('a/1');
    expect(segment?.jobs).to.have.length(2);
  });

  it('notifies a paused owner that its jobs were adopted before it starts one of them', async () => {
    const store = createMemoryStore();
    const lost: string[] = [];
    const a = openJournal(store, 'a/1', { onLost: (jobs) => lost.push(...jobIds(jobs)) });
    await acceptAll(a, ['job']);
    await openJournal(store, 'b/1').adopt(ALWAYS);
    const started = await a.started(TEAM, 'job', createStart());
    expect(started._unsafeUnwrapErr().kind).to.equal('conflict');
    expect(lost).to.deep.equal(['job']);
    expect(a.jobs()).to.deep.equal([]);
  });

  it('recovers a segment that it adopted by a write whose response was lost', async () => {
    const memory = createMemoryStore();
    await acceptAll(openJournal(memory, 'a/1'), ['job']);
    const store = createFlakyStore(memory);
    const b = openJournal(store, 'b/1');
    store.nextFaultModes = ['up', 'lost', ...Array<FaultMode>(7).fill('down')];
    expect((await b.adopt((owner) => owner === 'a/1'))._unsafeUnwrap()).to.deep.equal([]);
    store.nextFaultModes = [];
    expect(jobIds((await b.adopt(NEVER))._unsafeUnwrap())).to.deep.equal(['job']);
  });

  it('transfers its segments to the given peer and accepts no more jobs', async () => {
    const store = createMemoryStore();
    const [a, b, c] = [
      openJournal(store, 'a/1'),
      openJournal(store, 'b/1'),
      openJournal(store, 'c/1'),
    ];
    await acceptAll(a, ['job']);
    expect(jobIds((await a.release('b/1'))._unsafeUnwrap())).to.deep.equal(['job']);
    expect(await acceptAll(a, ['late'])).to.deep.equal(['unavailable']);
    expect((await c.adopt(NEVER))._unsafeUnwrap()).to.deep.equal([]);
    expect(jobIds((await b.adopt(NEVER))._unsafeUnwrap())).to.deep.equal(['job']);
    expect((await a.started(TEAM, 'job', createStart())).isErr()).to.equal(true);
  });

  it('removes ended jobs after the retention and makes no store call before that', async () => {
    const store = createMemoryStore();
    let now = 0;
    const journal = openJournal(store, 'a/1', { now: () => now, retentionMs: 1000, maxJobs: 20 });
    const ids = createIds(40);
    await acceptAll(journal, ids);
    for (const id of ids.slice(1)) journal.ended(TEAM, id, DONE);
    await journal.flush();
    const before = store.calls();
    now = 999;
    await journal.sweep();
    await journal.flush();
    expect(store.calls()).to.equal(before);
    now = 1000;
    await journal.sweep();
    await journal.flush();
    expect(await readJobIds(store)).to.deep.equal([ids[0]]);
    expect(await readSegments(store)).to.have.length(1);
  });

  it('records the end of a job whose answer does not fit into the segment', async () => {
    const store = createMemoryStore();
    const journal = openJournal(store, 'a/1');
    await acceptAll(journal, ['job']);
    journal.ended(TEAM, 'job', { ...DONE, body: new Uint8Array(1_000_000) });
    await journal.flush();
    const found = (await openJournal(store, 'b/1').find(TEAM, 'job'))._unsafeUnwrap();
    expect(found?.outcome?.kind).to.equal('unknown');
  });

  it('loses no accepted job, keeps no refused one and never has two owners of a job', async function () {
    this.timeout(60_000);
    const anyFate = fc.constantFrom<FaultMode>('up', 'up', 'up', ...FAULT_MODES);
    const doubt = fc.constantFrom<FaultMode>('lost', 'dropped', 'late');
    const kinds = ['accept', 'start', 'adopt', 'crash', 'release', 'usurp', 'repeat'] as const;
    const step = fc.record({
      kind: fc.constantFrom('accept', 'accept', 'start', 'end', 'end', ...kinds),
      node: fc.nat(2),
      pick: fc.nat(20),
      fates: fc.oneof(
        fc.array(anyFate, { maxLength: 6 }),
        doubt.map((first): FaultMode[] => [first, ...Array<FaultMode>(4).fill('down')]),
      ),
    });
    const counts = { ok: 0, unavailable: 0, 'in-doubt': 0, conflict: 0, adopted: 0 };
    const steps = fc.array(step, { minLength: 20, maxLength: 50 });
    const property = fc.asyncProperty(steps, (list) => checkHosts(list, counts));
    await fc.assert(property, { seed: 47, numRuns: 150 });
    for (const [kind, count] of Object.entries(counts)) {
      if (kind !== 'conflict') expect(count, kind).to.be.greaterThan(50);
    }
  });
});

type Step = Readonly<{ kind: string; node: number; pick: number; fates: readonly FaultMode[] }>;

/** Runs steps on three hosts that share a store, and then adopts all segments from another host. */
async function checkHosts(
  steps: readonly Step[],
  counts: Record<StoreError['kind'] | 'ok' | 'adopted', number>,
): Promise<void> {
  const memory = createMemoryStore();
  const accepted = new Set<string>();
  const refused = new Set<string>();
  let boots = 0;
  const boot = (name: string) => {
    boots += 1;
    const store = createFlakyStore(memory);
    const owner = `${name}/${String(boots)}`;
    return { name, owner, store, journal: openJournal(store, owner, { maxJobs: 3 }) };
  };
  const nodes = ['a', 'b', 'c'].map(boot);
  const choose = (ids: Iterable<string>, pick: number) => {
    const list = [...ids];
    return list[pick % Math.max(1, list.length)];
  };
  type Member = ReturnType<typeof boot>;

  async function accept({ journal }: Member, id: string | undefined): Promise<void> {
    if (id === undefined) return;
    const result = await journal.accept(createJob(id));
    const kind = result.isOk() ? 'ok' : result.error.kind;
    counts[kind] += 1;
    if (kind === 'ok') accepted.add(id);
    else if (kind !== 'in-doubt') refused.add(id);
  }

  async function start({ journal, owner }: Member, pick: number): Promise<void> {
    const open = journal.jobs().filter(({ state }) => state !== 'ended');
    const id = choose(jobIds(open), pick);
    if (id === undefined || (await journal.started(TEAM, id, createStart(pick))).isErr()) return;
    const held = (await readSegments(memory)).filter(({ jobs }) => jobIds(jobs).includes(id));
    expect(held.map((segment) => segment.owner)).to.deep.equal([owner], `owners of ${id}`);
  }

  async function adopt({ journal }: Member, isDead: (owner: string) => boolean): Promise<void> {
    const result = await journal.adopt(isDead);
    if (result.isOk()) counts.adopted += result.value.length;
  }

  async function act(member: Member, step: Step, name: string): Promise<void> {
    const { kind, pick, node } = step;
    if (kind === 'accept') return accept(member, name);
    if (kind === 'start') return start(member, pick);
    if (kind === 'adopt') return adopt(member, (owner) => nodes.every((n) => n.owner !== owner));
    if (kind === 'usurp') return adopt(member, (owner) => owner.startsWith('a/'));
    if (kind === 'repeat') {
      const id = choose(refused, pick);
      return accept(member, id !== undefined && refused.delete(id) ? id : undefined);
    }
    if (kind === 'end') member.journal.ended(TEAM, choose(accepted, pick) ?? '', DONE);
    const next = kind === 'crash' || kind === 'release' ? boot(member.name) : member;
    nodes[node] = next;
    if (kind === 'release') await member.journal.release(next.owner);
  }

  let work: Promise<void>[] = [];
  for (const [n, step] of steps.entries()) {
    const member = nodes[step.node];
    if (member === undefined) throw new Error('no such host');
    member.store.nextFaultModes.push(...step.fates);
    // An adoption from a live owner between a start and its check would look like two owners.
    const isAlone = ['crash', 'release', 'usurp'].includes(step.kind);
    if (isAlone) await Promise.all(work);
    work.push(act(member, step, `job-${String(n)}`));
    if (work.length < 3 && !isAlone) continue;
    await Promise.all(work);
    work = [];
  }
  await Promise.all(work);
  for (const { store } of nodes) store.nextFaultModes = [];
  for (const { journal } of nodes) await journal.flush();
  const survivor = boot('survivor');
  (await survivor.journal.adopt(ALWAYS))._unsafeUnwrap();
  const kept = jobIds(survivor.journal.jobs());
  expect(kept).to.include.members([...accepted], 'accepted jobs are kept');
  expect(kept).to.not.have.any.members([...refused, 'none'], 'refused jobs are not kept');
  const held = await readJobIds(memory);
  expect(held.length, 'a job in two values').to.equal(new Set(held).size);
}
