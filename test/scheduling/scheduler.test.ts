import { expect } from 'chai';
import fc from 'fast-check';
import { fitsWithin, type Resources, type WorkClass, type Worker } from '../../src/model/index.js';
import {
  createScheduler,
  neverFits,
  type Decision,
  type SchedulerOptions,
} from '../../src/scheduling/index.js';
import { createHealthTracker, createLedger, type Ledger } from '../../src/workers/index.js';

const NONE: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

function worker(id: number, over: Partial<Worker> = {}): Worker {
  return {
    id: `w${String(id)}`,
    dataCentre: 'dc1',
    rack: `r${String(id % 3)}`,
    url: 'http://127.0.0.1:1',
    capacity: { processors: 8, memoryMb: 8192, accelerators: id % 2 },
    slots: 4,
    connections: 64,
    state: 'live',
    ...over,
  };
}

function request(
  id: string,
  over: {
    class?: WorkClass;
    size?: Partial<Resources>;
    team?: string;
    at?: number;
    entry?: string;
    tasks?: number;
    startBefore?: number;
    idempotent?: boolean;
  } = {},
) {
  return {
    id,
    callerId: false,
    team: over.team ?? 'a',
    entry: over.entry ?? 'e',
    class: over.class ?? 'interactive',
    idempotent: over.idempotent ?? true,
    size: { processors: 1, memoryMb: 128, accelerators: 0, ...over.size },
    tasks: over.tasks ?? 1,
    input: new Uint8Array(),
    contentType: 'text/plain',
    submittedAt: over.at ?? 0,
    startBefore: over.startBefore ?? Infinity,
    maxRunMs: 1_000,
    maxAttempts: 1,
    hops: [],
  };
}

/** A seeded random number generator, so that failures can be reproduced. */
function generator(seed: number): () => number {
  let state = seed;
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

/** A scheduler with real ledgers, and limits and shares by team. */
function createCell(
  options: {
    cellWorkers?: readonly Worker[];
    limits?: Record<string, number>;
    shares?: Record<string, number>;
  } & Partial<SchedulerOptions> = {},
) {
  const workers = options.cellWorkers ?? Array.from({ length: 6 }, (_, id) => worker(id));
  const clock = { time: 0 };
  const now = () => clock.time;
  const used = new Map<string, number>();
  const spare = (team: string) => (options.limits?.[team] ?? Infinity) - (used.get(team) ?? 0);
  const change = (team: string, by: number) => {
    used.set(team, (used.get(team) ?? 0) + by);
  };
  const health = createHealthTracker({ now });
  const scheduler = createScheduler({
    now,
    random: generator(3),
    health,
    owner: 'h1',
    epoch: () => 1,
    team: (name) => ({ name, share: options.shares?.[name] ?? 1, limit: 1_000 }),
    remoteUsage: () => NONE,
    cell: () => ({ processors: 48, memoryMb: 49_152, accelerators: 3 }),
    acquire: (team) => {
      if (spare(team) <= 0) return false;
      change(team, 1);
      return true;
    },
    release: (team) => {
      change(team, -1);
    },
    spare,
    maxQueued: () => 100_000,
    ...options,
  });
  const ledgers = workers.map((each) => createLedger({ worker: each }));
  scheduler.setLedgers(ledgers);
  const startAll = () => {
    const decisions: Decision[] = [];
    for (let next = scheduler.next(); next; next = scheduler.next()) decisions.push(next);
    return decisions;
  };
  return { scheduler, ledgers, clock, used, health, startAll };
}

function expectWithinCapacity(ledgers: readonly Ledger[]) {
  for (const ledger of ledgers) {
    expect(fitsWithin(NONE, ledger.free()), 'a resource is overcommitted').to.equal(true);
    expect(ledger.running().length).to.be.at.most(ledger.worker.slots);
  }
}

describe('scheduler', () => {
  it('exceeds no worker capacity and no team limit and loses no charge under random operations', () => {
    const step = fc.record({
      kind: fc.constantFrom(
        'enqueue',
        'enqueue',
        'enqueue',
        'next',
        'next',
        'finish',
        'cancel',
        'reserve',
        'lose',
      ),
      class: fc.constantFrom<WorkClass>('interactive', 'batch', 'service'),
      team: fc.constantFrom('a', 'b', 'c'),
      processors: fc.double({ min: 0.1, max: 8, noNaN: true }),
      memoryMb: fc.integer({ min: 1, max: 8192 }),
      accelerators: fc.nat(1),
      pick: fc.nat(),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 300, size: 'max' }), (steps) => {
        const limits = { a: 3, b: 5, c: Infinity };
        const { scheduler, ledgers, used } = createCell({ limits });
        const running: Decision[] = [];
        for (const [index, { kind, pick, ...work }] of steps.entries()) {
          const made = request(String(index), { ...work, size: work });
          if (kind === 'enqueue') scheduler.enqueue(made);
          if (kind === 'cancel') scheduler.cancel(work.team, String(pick % (index + 1)));
          if (kind === 'reserve') running.push(...scheduler.reserve(made, pick % 4));
          if (kind === 'lose') scheduler.setLedgers(ledgers.slice(pick % 2));
          const decision = kind === 'next' ? scheduler.next() : undefined;
          if (decision) running.push(decision);
          const [ended] = kind === 'finish' ? running.splice(pick % (running.length + 1), 1) : [];
          if (ended) scheduler.finished(ended.task, ended.worker);
          expectWithinCapacity(ledgers);
          for (const [team, limit] of Object.entries(limits)) {
            const count = running.filter((other) => other.request.team === team).length;
            expect(used.get(team) ?? 0, 'charges differ from running tasks').to.equal(count);
            expect(count).to.be.at.most(limit);
          }
        }
        scheduler.setLedgers(ledgers);
        const { teams } = scheduler.load();
        const total = Object.values(teams).reduce((sum, team) => sum + team.running, 0);
        expect(total).to.equal(ledgers.reduce((sum, ledger) => sum + ledger.running().length, 0));
      }),
      { seed: 4 },
    );
  });

  it('leaves no charge behind when no task can start', () => {
    const { scheduler, used } = createCell();
    scheduler.enqueue(request('large', { size: { processors: 8, memoryMb: 8_192 } }));
    for (let n = 0; n < 6; n += 1) scheduler.reserve(request(`r${String(n)}`), 1);
    expect(scheduler.next()).to.equal(undefined);
    expect(used.get('a')).to.equal(6);
  });

  it('gives teams their weighted shares while the cell is full', () => {
    const shares = { a: 1, b: 2, c: 3 };
    const cell = createCell({ shares });
    const size = { processors: 2, memoryMb: 128 };
    let serial = 0;
    const running: Decision[] = [];
    const random = generator(5);
    const sums: Record<string, number> = { a: 0, b: 0, c: 0 };
    for (let round = 0; round < 2_000; round += 1) {
      for (const team of ['a', 'b', 'c']) {
        serial += 1;
        cell.scheduler.enqueue(request(String(serial), { team, class: 'batch', size }));
      }
      running.push(...cell.startAll());
      const [ended] = running.splice(Math.floor(random() * running.length), 1);
      if (ended) cell.scheduler.finished(ended.task, ended.worker);
      for (const { request: made } of running) sums[made.team] = (sums[made.team] ?? 0) + 1;
    }
    const total = Object.values(sums).reduce((sum, count) => sum + count, 0);
    for (const [team, share] of Object.entries(shares)) {
      expect((sums[team] ?? 0) / total).to.be.closeTo(share / 6, 0.03);
    }
  });

  it('finishes large batch jobs under constant interactive load that takes all freed capacity', () => {
    const cell = createCell({ agingMs: 500 });
    for (let n = 0; n < 5; n += 1) {
      const size = { processors: 8, memoryMb: 8_192 };
      cell.scheduler.enqueue(request(`b${String(n)}`, { team: 'b', class: 'batch', size }));
    }
    const random = generator(6);
    const running: { decision: Decision; until: number }[] = [];
    let finished = 0;
    for (let serial = 0; cell.clock.time < 60_000; cell.clock.time += 10) {
      for (let n = 0; n < 4; n += 1, serial += 1) {
        const size = { processors: 2, memoryMb: 64 };
        cell.scheduler.enqueue(request(`i${String(serial)}`, { at: cell.clock.time, size }));
      }
      for (const decision of cell.startAll()) {
        running.push({ decision, until: cell.clock.time + 20 + random() * 400 });
      }
      for (const { decision } of running.filter(({ until }) => until <= cell.clock.time)) {
        cell.scheduler.finished(decision.task, decision.worker);
        if (decision.request.class === 'batch') finished += 1;
      }
      running.splice(0, Infinity, ...running.filter(({ until }) => until > cell.clock.time));
    }
    expect(finished).to.equal(5);
  });

  it('starts interactive work first, but gives deferrable work its share of the starts', () => {
    const cell = createCell({ agingMs: Infinity });
    for (let n = 0; n < 20; n += 1)
      cell.scheduler.enqueue(request(`b${String(n)}`, { class: 'batch' }));
    for (let n = 0; n < 40; n += 1) cell.scheduler.enqueue(request(`i${String(n)}`));
    const classes = cell
      .startAll()
      .slice(0, 22)
      .map((decision) => decision.request.class);
    expect(classes.slice(0, 10)).to.deep.equal(Array<string>(10).fill('interactive'));
    expect(classes.filter((each) => each === 'batch').length).to.equal(2);
  });

  it('does not let a team without allotment block other teams', () => {
    const cell = createCell({ limits: { a: 0 } });
    for (let n = 0; n < 50; n += 1) cell.scheduler.enqueue(request(`a${String(n)}`));
    cell.scheduler.enqueue(request('b', { team: 'b', at: 5 }));
    expect(cell.startAll().map((decision) => decision.request.team)).to.deep.equal(['b']);
  });

  it('skips a request that does not fit at present', () => {
    const cell = createCell({ cellWorkers: [worker(0)] });
    cell.scheduler.reserve(request('r'), 1);
    cell.scheduler.enqueue(request('large', { size: { processors: 8 } }));
    cell.scheduler.enqueue(request('small'));
    expect(cell.scheduler.next()?.request.id).to.equal('small');
  });

  it('keeps order and counts correct when half of a long queue is cancelled', () => {
    const cell = createCell({ cellWorkers: [worker(0, { slots: 100_000, connections: 100_000 })] });
    const size = { processors: 0, memoryMb: 0 };
    for (let n = 0; n < 8_000; n += 1) cell.scheduler.enqueue(request(String(n), { size }));
    for (let n = 0; n < 8_000; n += 2) {
      expect(cell.scheduler.cancel('a', String(n))).to.equal(true);
      expect(cell.scheduler.cancel('a', String(n)), 'cancelled twice').to.equal(false);
    }
    expect(cell.scheduler.load().queued.interactive).to.equal(4_000);
    const started = cell.startAll().map((decision) => Number(decision.request.id));
    expect(started).to.deep.equal(Array.from({ length: 4_000 }, (_, n) => 2 * n + 1));
  });

  it('stays within the capacity when declared sizes are wrong by up to a factor of ten', () => {
    const cell = createCell();
    const random = generator(8);
    for (let n = 0; n < 400; n += 1) {
      const declared = 0.2 + random() * 2;
      const size = { processors: declared };
      cell.scheduler.enqueue(request(String(n), { class: 'batch', size, team: n % 2 ? 'a' : 'b' }));
      const decision = cell.scheduler.next();
      const ledger = cell.ledgers[n % 6];
      const usage = new Map(
        (ledger?.running() ?? []).map((task) => {
          const factor = 10 ** (2 * random() - 1);
          return [task.id, { ...task.size, processors: task.size.processors * factor }];
        }),
      );
      ledger?.applyReport({ bootId: 'b', usage, leaving: false });
      const started = cell.ledgers.filter((each) => each.worker.id === decision?.worker);
      expectWithinCapacity(started.filter((each) => each !== ledger));
      for (const each of cell.ledgers) {
        const [first] = each.running();
        if (!first || each.free().processors >= 0) continue;
        expect(each.charge({ ...first, id: 'more' }), 'overcommitted').to.equal(false);
      }
      const [ended] = cell.ledgers[(n * 5) % 6]?.running() ?? [];
      if (ended) cell.scheduler.finished(ended.id, `w${String((n * 5) % 6)}`);
    }
  });

  it('returns each expired request once and never starts it', () => {
    const cell = createCell();
    cell.scheduler.enqueue(request('late', { startBefore: 50 }));
    cell.scheduler.enqueue(request('early', { startBefore: 1_000 }));
    cell.clock.time = 60;
    expect(cell.startAll().map((decision) => decision.request.id)).to.deep.equal(['early']);
    expect(cell.scheduler.expire().map(({ id }) => id)).to.deep.equal(['late']);
    expect(cell.scheduler.expire()).to.deep.equal([]);
  });

  it('refuses requests that can never fit and requests beyond the queue limit of their entry', () => {
    const cell = createCell({ maxQueued: () => 1 });
    const reason = (made: ReturnType<typeof request>) => {
      const result = cell.scheduler.enqueue(made);
      return result.isErr() ? result.error.reason : 'queued';
    };
    expect(reason(request('1', { size: { processors: 9 } }))).to.equal('never-fits');
    expect(reason(request('2'))).to.equal('queued');
    expect(reason(request('3'))).to.equal('queue-full');
    expect(reason(request('4', { entry: 'other' }))).to.equal('queued');
  });

  it('checks all tasks of a gang, including their slots, against empty workers', () => {
    const workers = [worker(0), worker(1)];
    const size = { processors: 1, memoryMb: 1 };
    expect(neverFits(request('g', { tasks: 8, size }), workers)).to.equal(false);
    expect(neverFits(request('g', { tasks: 9, size }), workers)).to.equal(true);
    expect(neverFits(request('g', { tasks: 3, size: { accelerators: 1 } }), workers)).to.equal(
      true,
    );
  });

  it('places only one idempotent task at a time on a worker in trial', () => {
    const cell = createCell({ cellWorkers: [worker(0)] });
    for (let n = 0; n < 3; n += 1) cell.health.record('w0', 'e', false);
    cell.scheduler.enqueue(request('booking', { idempotent: false }));
    for (let n = 0; n < 3; n += 1) cell.scheduler.enqueue(request(`lookup${String(n)}`));
    expect(cell.startAll(), 'a start on an excluded worker').to.deep.equal([]);
    cell.clock.time = 30_000;
    const [trial, ...others] = cell.startAll();
    expect([trial?.request.id, others.length]).to.deep.equal(['lookup0', 0]);
    cell.health.record('w0', 'e', true);
    if (trial) cell.scheduler.finished(trial.task, trial.worker);
    cell.clock.time += 100;
    expect(cell.startAll().length).to.equal(3);
  });

  it('spreads services over racks', () => {
    const cell = createCell();
    for (let n = 0; n < 3; n += 1)
      cell.scheduler.enqueue(request(`s${String(n)}`, { class: 'service' }));
    const racks = cell.startAll().map((decision) => Number(decision.worker.slice(1)) % 3);
    expect(new Set(racks).size).to.equal(3);
  });
});
