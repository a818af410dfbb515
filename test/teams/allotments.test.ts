import { expect } from 'chai';
import fc from 'fast-check';
import { errAsync } from 'neverthrow';
import { createMemoryStore, decodeRecord, type Store } from '../../src/platform/index.js';
import {
  createAllotments,
  parseAllotmentRecord,
  type AllotmentRecord,
  type Allotments,
} from '../../src/teams/index.js';
import { removeOwner } from '../../src/teams/record.js';

const TEAM = 'lawns';

/** A team's record, or undefined before the first write. */
async function readRecord(store: Store): Promise<AllotmentRecord | undefined> {
  const found = (await store.get(`allotments/${TEAM}`))._unsafeUnwrap();
  return found && decodeRecord(found.value, parseAllotmentRecord);
}

function limits(limit: number) {
  return new Map([[TEAM, { name: TEAM, share: 1, limit }]]);
}

function sumOf(record: AllotmentRecord): number {
  return Object.values(record.parts).reduce((sum, { part }) => sum + part, 0);
}

/** A store that can report writes as in doubt and apply them later. */
function createDelayingStore() {
  const store = createMemoryStore();
  const delayed: (() => void)[] = [];
  let delaying = false;
  const compareAndSwap: Store['compareAndSwap'] = (key, version, value) => {
    if (!delaying) return store.compareAndSwap(key, version, value);
    delayed.push(() => void store.compareAndSwap(key, version, value));
    return errAsync({ kind: 'in-doubt', detail: 'the request timed out' });
  };
  return {
    ...store,
    compareAndSwap,
    setDelaying: (next: boolean) => {
      delaying = next;
    },
    applyDelayed: () => {
      for (const apply of delayed.splice(0)) apply();
    },
  };
}

interface Charge {
  readonly owner: number;
  readonly label: string;
}

interface Task {
  readonly worker: number;
  running: boolean;
  charges: Charge[];
}

const OWNERS = 4;
const WORKERS = 5;

/** Owners that share one store, and the tasks on workers that fence former holders. */
function createFleet(limit: number) {
  const store = createDelayingStore();
  let time = 0;
  const owners = Array.from({ length: OWNERS }, (_, index) => ({
    allotments: createAllotments({ store, owner: `host-${String(index)}`, now: () => time }),
    crashed: false,
    released: false,
    believedHeld: new Set<number>(),
  }));
  const holders = Array.from({ length: WORKERS }, (_, worker) => worker % OWNERS);
  holders.forEach((owner, worker) => owners[owner]?.believedHeld.add(worker));
  const tasks: Task[] = [];
  const pending: Promise<unknown>[] = [];
  let inForce = limit;

  const running = () => tasks.filter((task) => task.running);
  const name = (owner: number) => `host-${String(owner)}`;
  const find = (index: number) => {
    const owner = owners[index % OWNERS];
    return owner && !owner.crashed ? owner : undefined;
  };

  function start(index: number, worker: number) {
    const owner = find(index);
    if (!owner?.believedHeld.has(worker) || !owner.allotments.acquire(TEAM)) return;
    if (holders[worker] !== index) {
      owner.allotments.release(TEAM);
      return;
    }
    const message = 'a task was started above the limit';
    expect(running().length + 1, message).to.be.at.most(inForce);
    tasks.push({ worker, running: true, charges: [{ owner: index, label: name(index) }] });
  }

  /** Reports the end of the task to one of the owners that count it, in any order. */
  function inform(task: Task, pick: number) {
    const [charge] = task.charges.splice(pick % task.charges.length, 1);
    const allotments = charge && find(charge.owner)?.allotments;
    if (!charge || !allotments) return;
    allotments.release(TEAM, charge.label);
  }

  function takeOver(worker: number, index: number) {
    const from = holders[worker] ?? 0;
    const owner = find(index);
    if (!owner || owner.believedHeld.has(worker) || from === index) return;
    holders[worker] = index;
    owner.believedHeld.add(worker);
    const found = running().filter((task) => task.worker === worker);
    for (const task of found) task.charges.push({ owner: index, label: name(from) });
    pending.push(
      Promise.resolve(owner.allotments.adopt(name(from), new Map([[TEAM, found.length]]))),
    );
  }

  function noticeLoss(index: number) {
    const owner = find(index);
    for (const worker of owner?.believedHeld ?? []) {
      if (holders[worker] !== index) owner?.believedHeld.delete(worker);
    }
  }

  function releaseDead(index: number) {
    const owner = owners[index];
    const settled = owners.every((o) => o.crashed || o.allotments.settled(name(index)));
    const helper = owners.find((other) => !other.crashed);
    if (!owner?.crashed || holders.includes(index) || !settled || !helper) return;
    owner.released = true;
    pending.push(Promise.resolve(helper.allotments.releaseOwner(name(index))));
  }

  return {
    store,
    owners,
    holders,
    tasks,
    running,
    start,
    takeOver,
    noticeLoss,
    releaseDead,
    inform,
    crash: (index: number) => {
      const alive = owners.filter((owner) => !owner.crashed);
      const owner = find(index);
      if (owner && alive.length > 1) owner.crashed = true;
    },
    rebalance: (index: number) => {
      time += 10_000;
      const allotments = find(index)?.allotments;
      if (allotments) pending.push(allotments.rebalance());
    },
    setLimit: (next: number, revision: number) => {
      inForce = next;
      for (const { allotments } of owners) allotments.setLimits(limits(next), revision);
    },
    settle: () => Promise.all(pending.splice(0)),
  };
}

type Fleet = ReturnType<typeof createFleet>;

const operation = fc.record({
  kind: fc.constantFrom(
    ...(['start', 'start', 'start', 'start', 'start', 'start', 'end', 'inform', 'inform'] as const),
    ...(['rebalance', 'rebalance', 'rebalance', 'rebalance', 'rebalance', 'takeOver'] as const),
    ...(['takeOver', 'noticeLoss', 'crash'] as const),
    ...(['releaseDead', 'store', 'limit', 'settle', 'settle', 'delayed'] as const),
  ),
  owner: fc.nat(OWNERS - 1),
  worker: fc.nat(WORKERS - 1),
  pick: fc.nat(1000),
});

function rotate<T>(items: readonly T[], by: number): readonly T[] {
  const start = items.length === 0 ? 0 : by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

async function perform(
  fleet: Fleet,
  step: typeof operation extends fc.Arbitrary<infer T> ? T : never,
) {
  const { kind, owner, worker, pick } = step;
  const running = fleet.running();
  const ended = fleet.tasks.filter((task) => !task.running && task.charges.length > 0);
  const held = [...(fleet.owners[owner]?.believedHeld ?? [])];
  if (kind === 'start')
    for (let n = 0; n < 8; n += 1) fleet.start(owner, held[worker % held.length] ?? 0);
  if (kind === 'end') for (const task of rotate(running, pick).slice(0, 3)) task.running = false;
  if (kind === 'inform')
    for (const task of rotate(ended, pick).slice(0, 3)) fleet.inform(task, pick);
  if (kind === 'rebalance') fleet.rebalance(owner);
  if (kind === 'takeOver') fleet.takeOver(worker, owner);
  if (kind === 'noticeLoss') fleet.noticeLoss(owner);
  if (kind === 'crash' && pick % 8 === 0) fleet.crash(owner);
  if (kind === 'releaseDead') fleet.releaseDead(owner);
  if (kind === 'store') {
    fleet.store.setMode((['up', 'up', 'down', 'lose-answers'] as const)[pick % 4] ?? 'up');
    fleet.store.setDelaying(pick % 5 === 0);
  }
  if (kind === 'delayed') fleet.store.applyDelayed();
  if (kind === 'settle') await fleet.settle();
}

async function recoverAndDrain(fleet: Fleet) {
  fleet.store.setMode('up');
  fleet.store.setDelaying(false);
  fleet.store.applyDelayed();
  await fleet.settle();
  const helper = fleet.owners.findIndex((owner) => !owner.crashed);
  for (let owner = 0; owner < OWNERS; owner += 1) fleet.noticeLoss(owner);
  fleet.holders.forEach((holder, worker) => {
    if (fleet.owners[holder]?.crashed) fleet.takeOver(worker, helper);
  });
  for (const task of fleet.tasks) {
    task.running = false;
    while (task.charges.length > 0) fleet.inform(task, 0);
  }
  for (let round = 0; round < 6; round += 1) {
    for (let owner = 0; owner < OWNERS; owner += 1) {
      fleet.rebalance(owner);
      await fleet.settle();
      fleet.releaseDead(owner);
      await fleet.settle();
    }
  }
  const alive = fleet.owners.filter((owner) => !owner.crashed);
  for (const { allotments } of alive) await allotments.drain();
  for (const { allotments } of alive) await allotments.rebalance();
}

describe('allotments', () => {
  // For a longer run: RUNS=100000 SEED=1 npx mocha -g 'never run more'
  const runs = Number(process.env.RUNS ?? 1_000);

  it('never run more than the limit and leak nothing under any order of failures', async () => {
    let started = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(operation, { minLength: 20, maxLength: 250, size: 'max' }),
        async (steps) => {
          const fleet = createFleet(12);
          let revision = 1;
          fleet.setLimit(12, revision);
          for (let owner = 0; owner < OWNERS; owner += 1) fleet.rebalance(owner);
          await fleet.settle();
          for (const step of steps) {
            if (step.kind === 'limit' && step.pick % 3 === 0) {
              await fleet.settle();
              revision += 1;
              fleet.setLimit(2 + (step.pick % 14), revision);
            } else await perform(fleet, step);
          }
          started += fleet.tasks.length;
          await recoverAndDrain(fleet);
          const record = await readRecord(fleet.store);
          expect(record && sumOf(record), JSON.stringify(record)).to.equal(0);
        },
      ),
      {
        seed: Number(process.env.SEED ?? 20_260),
        numRuns: runs,
      },
    );
    // Ensures that the model starts tasks; without starts, the checks above could not fail.
    expect(started).to.be.above(5 * runs);
  }).timeout(120_000);

  const owner = (store: Store, name: string, now = () => 0, limit = 64): Allotments => {
    const allotments = createAllotments({ store, owner: name, now });
    allotments.setLimits(limits(limit), 1);
    return allotments;
  };

  function take(allotments: Allotments, most = Infinity): number {
    let count = 0;
    while (count < most && allotments.acquire(TEAM)) count += 1;
    return count;
  }

  it('lets one busy host use most of a limit that an idle host does not use', async () => {
    const store = createMemoryStore();
    let time = 0;
    const idle = owner(store, 'idle', () => time);
    const busy = owner(store, 'busy', () => time);
    for (let round = 0; round < 20; round += 1) {
      take(idle, 64);
      await idle.rebalance();
    }
    for (let ended = 0; ended < 64; ended += 1) idle.release(TEAM);
    let used = take(busy);
    for (let round = 0; round < 20; round += 1) {
      time += 30_000;
      await busy.rebalance();
      used += take(busy);
      await idle.rebalance();
    }
    expect(used).to.be.at.least(60);
  });

  it('keeps starting tasks within its part, but not beyond, while the store is down', async () => {
    const store = createMemoryStore();
    const allotments = owner(store, 'host');
    take(allotments);
    await allotments.rebalance();
    const spare = allotments.spare(TEAM);
    store.setMode('down');
    await allotments.rebalance();
    expect(spare).to.be.above(0);
    expect(take(allotments)).to.equal(spare);
  });

  it('counts a returned part as gone while the write is in doubt', async () => {
    const store = createDelayingStore();
    const allotments = owner(store, 'host');
    take(allotments, 1);
    await allotments.rebalance();
    store.setDelaying(true);
    allotments.setLimits(limits(1), 2);
    await allotments.rebalance();
    expect(allotments.spare(TEAM)).to.be.at.most(1);
    store.applyDelayed();
    store.setDelaying(false);
    await allotments.rebalance();
    expect((await readRecord(store))?.limit).to.equal(1);
  });

  it('reduces unused parts first when a limit is lowered to the number of running tasks', async () => {
    const store = createMemoryStore();
    const full = owner(store, 'full');
    const spare = owner(store, 'spare');
    take(full);
    await full.rebalance();
    const running = take(full);
    take(spare, 1);
    await spare.rebalance();
    for (const allotments of [full, spare]) allotments.setLimits(limits(running), 2);
    expect(take(spare), 'a start before the record is corrected').to.equal(0);
    await spare.rebalance();
    const record = await readRecord(store);
    expect(record?.parts.full?.part).to.be.at.least(running);
    expect(record?.parts.spare?.part ?? 0).to.be.at.most(0);
  });

  it('does not reuse the charge of an adopted task while its paused former owner may use it', async () => {
    const store = createMemoryStore();
    let time = 0;
    const paused = owner(store, 'paused', () => time, 2);
    const adopter = owner(store, 'adopter', () => time, 2);
    const rebalance = async () => {
      time += 60_000;
      for (const allotments of [paused, adopter]) await allotments.rebalance();
    };
    for (const allotments of [paused, adopter]) take(allotments);
    await rebalance();
    take(paused, 1);
    await adopter.adopt('paused', new Map([[TEAM, 1]]));
    adopter.release(TEAM, 'paused');
    paused.release(TEAM);
    expect(take(paused, 1), 'the paused owner may still start one').to.equal(1);
    await rebalance();
    expect(adopter.spare(TEAM)).to.equal(1);
    paused.release(TEAM);
    await rebalance();
    expect([paused.spare(TEAM), adopter.spare(TEAM)]).to.deep.equal([0, 2]);
  });

  it('keeps a dead adopter from freeing charges that a third owner may still use', () => {
    const part = (amount: number, taken: Record<string, number> = {}) => {
      return { part: amount, taken, writes: 1, wanted: 0 };
    };
    const parts = { paused: part(0, { dead: 3 }), dead: part(1, { heir: 2 }), heir: part(2) };
    const after = removeOwner({ limit: 3, revision: 1, parts }, 'dead');
    expect(after.parts).to.deep.equal({ paused: part(1, { heir: 2 }), heir: part(2) });
  });

  it('rarely calls the store when nothing changes', async () => {
    const store = createMemoryStore();
    let time = 0;
    const allotments = owner(store, 'host', () => time);
    await allotments.rebalance();
    const before = store.calls();
    for (; time < 300_000; time += 1_000) await allotments.rebalance();
    expect(store.calls() - before).to.be.at.most(10);
  });
});
