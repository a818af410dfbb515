/**
 * Waits for the place where work takes least time. Load: deferrable tasks of 7 cores for 2 s in a nearly
 * full cell, where work away from its place takes twice as long.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { planRound } from '../../src/planner/index.js';
import type { CandidateWorker, Hold, PlanOptions, WaitingStep } from '../../src/planner/index.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

const WORK_MS = 2000;
const REMOTE_FACTOR = 2;

describe('waits for the place of work', () => {
  const indexes = (count: number) => Array.from({ length: count }, (_, index) => index);
  /** A worker that is full until the given times, when a task of 7 cores ends each. */
  const full = (id: string, endsAtMs: readonly number[], options: Partial<CandidateWorker> = {}) =>
    candidate(id, {
      room: amount(64),
      free: amount(4),
      runs: 9,
      rack: 'home',
      releases: () => endsAtMs.map((atMs) => ({ atMs, size: amount(7) })),
      ...options,
    });
  const open = (id = 'away', options: Partial<CandidateWorker> = {}) =>
    candidate(id, { room: amount(64), rack: 'away', ...options });
  const step = (key: string, options: Partial<WaitingStep> = {}) =>
    waiting(key, {
      size: amount(7),
      workMs: WORK_MS,
      remainingMs: WORK_MS,
      objectiveAtMs: 20_000,
      dataRack: 'home',
      ...options,
    });

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

  describe('of a task with a data rack', () => {
    it('waits for room there that lets it end sooner than elsewhere', () => {
      const holds = new Map<string, Hold>();
      const tasks = [step('task')];
      expect(workersOf([full('home', [500]), open()], tasks, { holds })).to.deep.equal([]);
      const freed = candidate('home', { rack: 'home', free: amount(11) });
      const [placed] = plan([freed, open()], tasks, { holds, nowMs: 520 });
      expect(placed).to.include({ worker: 'home', place: 'local', heldMs: 520 });
    });

    it('starts elsewhere at once if room there comes too late', () => {
      const [placed] = plan([full('home', [1700]), open()], [step('task')]);
      expect(placed).to.include({ worker: 'away', place: 'remote', heldMs: undefined });
    });

    it('starts elsewhere at once without a factor, or if nothing is known of the room there', () => {
      expect(
        workersOf([full('home', [500]), open()], [step('task')], { remoteFactor: undefined }),
      ).to.deep.equal(['away']);
      expect(workersOf([full('home', []), open()], [step('task')])).to.deep.equal(['away']);
    });

    // Such a task has no end that a wait could bring forward, and after a failure it is missed while it waits.
    it('does not wait if it is long-running', () => {
      const workers = [full('home', [500]), open()];
      expect(workersOf(workers, [step('service', { longRunning: true })])).to.deep.equal(['away']);
    });

    it('compares the ends on the workers, which differ in speed', () => {
      const slow = full('home', [100], { speed: 0.7 });
      expect(workersOf([slow, open('away', { speed: 1.7 })], [step('task')])).to.deep.equal([
        'away',
      ]);
      expect(workersOf([slow, open('away', { speed: 0.7 })], [step('task')])).to.deep.equal([]);
    });

    it('takes a worker elsewhere that is on time before one at the place that is late', () => {
      const workers = () => [
        open('home', { rack: 'home', speed: 0.7 }),
        open('away', { speed: 1.7 }),
      ];
      expect(workersOf(workers(), [step('task')])).to.deep.equal(['home']);
      const tight = [step('task', { priority: 0, objectiveAtMs: 2900 })];
      expect(workersOf(workers(), tight)).to.deep.equal(['away']);
    });

    it('waits only for workers that may run it', () => {
      const permitted = (ids: string[]) => [step('task', { constraint: constrainTo(ids) })];
      const workers = () => [full('home', [500]), full('other', []), open()];
      expect(workersOf(workers(), permitted(['other', 'away']))).to.deep.equal(['away']);
      expect(workersOf(workers(), permitted(['home', 'away']))).to.deep.equal([]);
    });

    it('does not wait for a worker on trial or one on which it has failed', () => {
      const trial = full('home', [500], { healthStatus: 'trial', runs: 0 });
      expect(workersOf([trial, open()], [step('task')])).to.deep.equal(['away']);
      const failed = step('task', { avoids: (_task, worker) => worker === 'home' });
      expect(workersOf([full('home', [500]), open()], [failed])).to.deep.equal(['away']);
    });
  });

  describe('against the objective of the job', () => {
    // A start elsewhere takes 4 s, and is to leave a fifth of that for errors of the estimate.
    it('does not wait if a start elsewhere after the wait would be late', () => {
      const workers = () => [full('home', [500]), open()];
      const due = (objectiveAtMs: number) => [step('task', { objectiveAtMs })];
      expect(workersOf(workers(), due(4300))).to.deep.equal(['away']);
      expect(workersOf(workers(), due(5200))).to.deep.equal(['away']);
      expect(workersOf(workers(), due(5400))).to.deep.equal([]);
    });

    it('waits for room at the place if it would be late elsewhere', () => {
      const urgent = step('urgent', { priority: 0, objectiveAtMs: 3300, uselessAtMs: 9900 });
      expect(workersOf([full('home', [500]), open()], [urgent])).to.deep.equal([]);
    });
  });

  describe('with room that does not become free', () => {
    /** Plans every 50 ms until something is placed; returns the time. */
    function playUntilPlaced(endsAt: (nowMs: number) => number[], held = step('task')): number {
      const holds = new Map<string, Hold>();
      for (let nowMs = 0; nowMs < 60_000; nowMs += 50) {
        const workers = [full('home', endsAt(nowMs)), open()];
        if (plan(workers, [held], { nowMs, holds }).length > 0) return nowMs;
      }
      return Infinity;
    }

    it('ends the wait when the room is gone', () => {
      expect(playUntilPlaced((nowMs) => (nowMs < 200 ? [500] : []))).to.equal(200);
    });

    it('ends the wait when the room is late, after the saving at the most', () => {
      expect(playUntilPlaced((nowMs) => (nowMs < 200 ? [500] : [2500]))).to.equal(200);
      // A run that exceeds its expectation is expected to end a little later at each look.
      expect(playUntilPlaced((nowMs) => [nowMs + 300])).to.be.within(1650, 2000);
    });

    it('does not begin a second wait after the first', () => {
      const wavering = (nowMs: number) => (nowMs % 400 < 200 ? [nowMs + 10] : [nowMs + 9000]);
      const holds = new Map<string, Hold>();
      const times = indexes(100).map((round) => round * 50);
      const waits = times.filter((nowMs) => {
        const workers = [full('home', wavering(nowMs)), open()];
        return plan(workers, [step('task')], { nowMs, holds }).length === 0;
      });
      expect(Math.max(...waits)).to.be.at.most(2000);
    });

    it('neither waits longer than the saving nor makes a job late, whatever is forecast', () => {
      fc.assert(
        fc.property(
          fc.array(fc.integer({ min: 0, max: 4000 }), { minLength: 1, maxLength: 40 }),
          fc.integer({ min: 1000, max: 12_000 }),
          fc.integer({ min: 0, max: 3000 }),
          (forecasts, objectiveAtMs, restMs) => {
            const held = step('task', { objectiveAtMs, remainingMs: WORK_MS + restMs });
            const endsAt = (nowMs: number) => [
              nowMs + (forecasts[(nowMs / 50) % forecasts.length] ?? 0),
            ];
            const startMs = playUntilPlaced(endsAt, held);
            expect(startMs).to.be.at.most(WORK_MS * (REMOTE_FACTOR - 1) + 50);
            const elsewhereMs = WORK_MS * REMOTE_FACTOR + restMs;
            if (elsewhereMs <= objectiveAtMs) {
              expect(startMs + elsewhereMs).to.be.at.most(objectiveAtMs);
            }
          },
        ),
        { seed: 20261207, numRuns: 200 },
      );
    });
  });

  describe('beside other work', () => {
    it('leaves the rest of a wide step to start elsewhere at once', () => {
      const tasks = indexes(5);
      const placed = plan([full('home', [500, 600, 1700]), open()], [step('wide', { tasks })]);
      expect(placed.map(({ task, worker }) => [task, worker])).to.deep.equal([
        [2, 'away'],
        [3, 'away'],
        [4, 'away'],
      ]);
    });

    // Both would wait, and one of them in vain.
    it('lets only one of two steps wait for the same room', () => {
      const steps = [step('first'), step('second', { objectiveAtMs: 25_000 })];
      const placed = plan([full('home', [500]), open()], steps);
      expect(placed.map(({ step: { key }, worker }) => [key, worker])).to.deep.equal([
        ['second', 'away'],
      ]);
    });

    it('keeps no room from other work, at the place or elsewhere', () => {
      const others = [
        step('small', { size: amount(4), objectiveAtMs: 30_000 }),
        step('other', { dataRack: undefined, objectiveAtMs: 31_000, tasks: indexes(9) }),
      ];
      const placed = plan([full('home', [500]), open()], [step('held'), ...others]);
      expect(placed.map(({ step: { key } }) => key)).to.not.include('held');
      expect(placed).to.have.length(10);
    });

    // 150 steps that fit nowhere let a round try only an eighth of those behind them.
    it('does not count as work that fits nowhere', () => {
      const held = indexes(200).map((index) =>
        step(`h${String(index)}`, { size: amount(0.1), objectiveAtMs: 9000 }),
      );
      const releases = () => [{ atMs: 100, size: amount(40) }];
      const home = full('home', [], { free: amount(0), releases });
      const behind = step('behind', { dataRack: undefined, objectiveAtMs: 30_000 });
      for (const round of [0, 1, 2]) {
        const placed = plan([home, open()], [...held, behind], { round });
        expect(placed.map(({ step: { key } }) => key)).to.deep.equal(['behind']);
      }
    });
  });
});
