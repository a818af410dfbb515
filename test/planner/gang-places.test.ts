/**
 * Choice of racks for gangs that take longer on several racks, and waits for a single one. Load: rack-sensitive gangs of
 * tasks of 18 cores for 5 s in a nearly full cell, where a gang on several racks takes twice as long.
 */
import { expect } from 'chai';
import { planRound } from '../../src/planner/index.js';
import type { CandidateWorker, Hold, PlanOptions, WaitingStep } from '../../src/planner/index.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

const REMOTE_FACTOR = 2;

describe('places of rack-sensitive gangs', () => {
  const indexes = (count: number) => Array.from({ length: count }, (_, index) => index);
  const open = (id: string, options: Partial<CandidateWorker> = {}) =>
    candidate(id, { room: amount(64), ...options });

  function plan(
    workers: readonly CandidateWorker[],
    steps: readonly WaitingStep[],
    options: Partial<PlanOptions> = {},
  ) {
    return planRound({
      nowMs: 0,
      workers,
      steps,
      budgets: new Map(),
      remoteFactor: REMOTE_FACTOR,
      ...options,
    });
  }
  const workersOf = (...args: Parameters<typeof plan>) => plan(...args).map(({ worker }) => worker);

  const gang = (options: Partial<WaitingStep> = {}) =>
    waiting('gang', {
      gang: true,
      rackSensitive: true,
      size: amount(18),
      workMs: 5000,
      remainingMs: 5000,
      objectiveAtMs: 40_000,
      tasks: indexes(4),
      ...options,
    });
  /** Two workers in each of two racks with room for three members in each rack. */
  const cell = (releases: CandidateWorker['releases'] = () => []) =>
    ['r1', 'r1', 'r2', 'r2'].map((rack, index) =>
      candidate(`${rack}-${String(index)}`, {
        rack,
        room: amount(64),
        free: amount(index % 2 === 0 ? 40 : 20),
        runs: 2,
        releases: index === 0 ? releases : () => [],
      }),
    );
  const soon = () => [{ atMs: 1000, size: amount(20) }];

  it('takes one rack that holds it instead of the fullest workers of several', () => {
    const workers = [...cell(), open('r3-0', { rack: 'r3' }), open('r3-1', { rack: 'r3' })];
    const placed = plan(workers, [gang()]);
    expect(new Set(placed.map(({ place }) => place))).to.have.keys('local');
    expect(new Set(placed.map(({ worker }) => worker.slice(0, 2)))).to.have.keys('r3');
  });

  it('avoids a rack with a worker where it has failed if others hold it', () => {
    const workers = [open('r3-0', { rack: 'r3' }), open('r3-1', { rack: 'r3' })].concat([
      open('r4-0', { rack: 'r4' }),
      open('r4-1', { rack: 'r4' }),
    ]);
    const avoids = (_task: number, worker: string) => worker === 'r3-0';
    const placed = workersOf(workers, [gang({ avoids })]);
    expect(new Set(placed.map((id) => id.slice(0, 2)))).to.have.keys('r4');
  });

  it('waits for one rack with enough room, and reserves nothing meanwhile', () => {
    const holds = new Map<string, Hold>();
    const filler = waiting('filler', { size: amount(4), objectiveAtMs: 60_000 });
    const placed = plan(cell(soon), [gang(), filler], { holds });
    expect(placed.map(({ step: { key } }) => key)).to.deep.equal(['filler']);
    const later = cell();
    const [first] = later;
    if (first !== undefined) first.free = amount(60);
    const members = plan(later, [gang()], { holds, nowMs: 1000 });
    expect(new Set(members.map(({ worker }) => worker))).to.have.keys('r1-0', 'r1-1');
    expect(members[0]).to.include({ place: 'local', heldMs: 1000 });
  });

  it('spreads over racks at once if none is expected to have room in time', () => {
    for (const releases of [() => [], () => [{ atMs: 6000, size: amount(20) }]]) {
      const placed = plan(cell(releases), [gang()]);
      expect(placed.map(({ place }) => place)).to.deep.equal(Array(4).fill('remote'));
    }
  });

  it('does not wait for a rack where it does not have enough permits', () => {
    const constraint = constrainTo(['r1-0', 'r2-2']);
    expect(plan(cell(soon), [gang({ constraint })])).to.have.length(4);
  });

  it('spreads over racks at once if the wait could make it late', () => {
    expect(plan(cell(soon), [gang({ objectiveAtMs: 12_500 })])).to.have.length(4);
  });

  it('waits for its data rack like a task', () => {
    const bound = gang({ rackSensitive: false, dataRack: 'r1' });
    expect(plan(cell(soon), [bound])).to.deep.equal([]);
    expect(plan(cell(), [bound]).map(({ place }) => place)).to.deep.equal(Array(4).fill('remote'));
  });

  it('takes faster workers on several racks if no rack ends it on time', () => {
    const slow = ['s1', 's2'].map((id) => open(id, { rack: 'slow', speed: 0.7 }));
    const fast = ['f1', 'f2'].map((id) => open(id, { rack: id, speed: 1.7, room: amount(36) }));
    const spread = (objectiveAtMs: number) =>
      new Set(
        workersOf(
          [...slow, ...fast].map((one) => ({ ...one })),
          [gang({ objectiveAtMs })],
        ),
      );
    expect(spread(40_000)).to.have.keys('s1', 's2');
    expect(spread(7200)).to.have.keys('f1', 'f2');
  });
});
