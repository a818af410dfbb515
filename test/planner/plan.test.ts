/**
 * Order of the waiting steps and placement of their tasks in a planning round.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { fitsWithin } from '../../src/model/index.js';
import { orderSteps, planRound } from '../../src/planner/index.js';
import type { CandidateWorker, WaitingStep } from '../../src/planner/index.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

describe('planning', () => {
  describe('order of waiting steps', () => {
    it('puts urgent classes first, then the least slack', () => {
      const steps = [
        waiting('patient', { objectiveAtMs: 20_000 }),
        waiting('tight', { objectiveAtMs: 2000 }),
        waiting('urgent', { priority: 0, objectiveAtMs: 5000 }),
      ];
      expect(orderSteps(steps, 0).map(({ key }) => key)).to.deep.equal([
        'urgent',
        'tight',
        'patient',
      ]);
    });

    it('puts late work behind work that can still be on time', () => {
      const steps = [
        waiting('late', { priority: 0, objectiveAtMs: 500, remainingMs: 1000 }),
        waiting('on-time', { objectiveAtMs: 20_000 }),
      ];
      expect(orderSteps(steps, 0).map(({ key }) => key)).to.deep.equal(['on-time', 'late']);
    });

    it('puts work whose result is of no use behind late work', () => {
      // With the most overdue work first, an overload would keep all other work late as well.
      const steps = [
        waiting('useless', { priority: 0, objectiveAtMs: -9000, uselessAtMs: 500 }),
        waiting('late', { objectiveAtMs: 0 }),
      ];
      expect(orderSteps(steps, 0).map(({ key }) => key)).to.deep.equal(['late', 'useless']);
    });

    it('puts work beyond the share of a team last', () => {
      const steps = [
        waiting('flood', { priority: 0, beyondShare: true }),
        waiting('late', { objectiveAtMs: 0 }),
      ];
      expect(orderSteps(steps, 0).map(({ key }) => key)).to.deep.equal(['late', 'flood']);
    });
  });

  describe('work that the leader has no time to start', () => {
    const steps = [
      waiting('urgent', { priority: 0, objectiveAtMs: 5000 }),
      waiting('first', { objectiveAtMs: 6000 }),
      waiting('second', { objectiveAtMs: 7000 }),
    ];

    function planWith(maxDeferrableTasks: number, waitingSteps: readonly WaitingStep[] = steps) {
      const blocked = new Map<string, string>();
      const placements = planRound({
        nowMs: 0,
        workers: [candidate('w', { room: amount(100) })],
        steps: waitingSteps,
        budgets: new Map(),
        maxDeferrableTasks,
        onBlocked: ({ key }, barrier) => blocked.set(key, barrier),
      });
      return { placed: placements.map(({ step }) => step.key), blocked };
    }

    it('is deferrable work beyond the tasks that it has time for', () => {
      const { placed, blocked } = planWith(1);
      expect(placed).to.deep.equal(['urgent', 'first']);
      expect([...blocked]).to.deep.equal([['second', 'leader']]);
    });

    // Guards against gangs that keep a leader at its limit, behind which other deferrable work starves.
    it('is a deferrable gang as well, which is placed whole once there is time for any of it', () => {
      const gang = waiting('gang', { gang: true, tasks: [0, 1], objectiveAtMs: 5500 });
      const whole = planWith(1, [gang, ...steps]);
      expect(whole.placed).to.deep.equal(['urgent', 'gang', 'gang']);
      expect([...whole.blocked.values()]).to.deep.equal(['leader', 'leader']);
      const none = planWith(0, [gang, ...steps]);
      expect(none.placed).to.deep.equal(['urgent']);
      expect(none.blocked.get('gang')).to.equal('leader');
    });

    it('is never urgent work', () => {
      expect(planWith(0).placed).to.deep.equal(['urgent']);
    });
  });

  describe('gangs in a full cell', () => {
    it('places all members or none', () => {
      const workers = [candidate('a', { room: amount(20) }), candidate('b', { room: amount(10) })];
      const gang = waiting('gang', { gang: true, size: amount(9), tasks: [0, 1, 2, 3] });
      expect(planRound({ nowMs: 0, workers, steps: [gang], budgets: new Map() })).to.deep.equal([]);
      expect(workers.map(({ free }) => free.processors)).to.deep.equal([20, 10]);
    });

    it('reserves workers for a waiting gang, so that smaller work behind it does not take them', () => {
      const busy = candidate('busy', { free: amount(4), runs: 2 });
      const other = candidate('other', { free: amount(30), runs: 1 });
      const gang = waiting('gang', { gang: true, size: amount(9), tasks: [0, 1, 2, 3, 4, 5] });
      const narrow = waiting('narrow', { objectiveAtMs: 20_000, tasks: [0, 1, 2] });
      const options = { nowMs: 0, workers: [busy, other], budgets: new Map() };
      expect(planRound({ ...options, steps: [gang, narrow] })).to.deep.equal([]);
      expect(planRound({ ...options, steps: [narrow] })).to.have.length(3);
    });

    it('lets urgent work use workers that a gang has reserved', () => {
      const workers = [candidate('busy', { free: amount(4), runs: 2 })];
      const gang = waiting('gang', { gang: true, size: amount(9), tasks: [0, 1] });
      const urgent = waiting('urgent', { priority: 0, objectiveAtMs: 20_000 });
      const placed = planRound({ nowMs: 0, workers, steps: [gang, urgent], budgets: new Map() });
      expect(placed.map(({ step }) => step.key)).to.deep.equal(['urgent']);
    });
  });

  describe('gangs and workers on trial', () => {
    const trial = () => candidate('trial', { healthStatus: 'trial' });
    const gang = waiting('gang', { gang: true, size: amount(9), tasks: [0, 1, 2] });
    const place = (workers: readonly CandidateWorker[], nowMs = 0) =>
      planRound({ nowMs, workers, steps: [gang], budgets: new Map() }).map(({ worker }) => worker);

    // With only gangs left, nothing ended the trials and no gang started any more.
    it('places a gang on a worker on trial if the trusted ones could not hold it', () => {
      expect(place([trial()])).to.deep.equal(['trial', 'trial', 'trial']);
      const small = candidate('small', { room: amount(9) });
      expect(place([trial(), small])).to.deep.equal(['small', 'trial', 'trial']);
    });

    it('keeps a gang for trusted workers as long as it can be on time', () => {
      const busy = candidate('busy', { free: amount(9), runs: 1 });
      expect(place([trial(), busy])).to.deep.equal([]);
      expect(place([trial(), busy], 10_000)).to.deep.equal(['busy', 'trial', 'trial']);
      expect(place([trial(), candidate('idle')], 10_000)).to.deep.equal(['idle', 'idle', 'idle']);
    });

    it('gives a worker on trial no gang beside other work', () => {
      expect(place([candidate('trial', { healthStatus: 'trial', runs: 1 })])).to.deep.equal([]);
      const worker = trial();
      const single = waiting('single', { objectiveAtMs: 5000 });
      const steps = [single, gang];
      const placed = planRound({ nowMs: 0, workers: [worker], steps, budgets: new Map() });
      expect(placed.map(({ step }) => step.key)).to.deep.equal(['single']);
    });
  });

  describe('steps that are limited to a few workers of a large pool', () => {
    const workers = () => Array.from({ length: 10 }, (_, index) => candidate(`w${String(index)}`));

    it('asks for the workers of a wide step once, whether or not any may start it', () => {
      // A leader with hundreds of waiting steps spent most of its time on looking up workers for each task.
      for (const startable of [[], ['w3', 'w4']]) {
        let lookups = 0;
        const constraint = {
          ...constrainTo(startable, (candidates) => {
            lookups += candidates.length;
          }),
          known: true,
        };
        const tasks = Array.from({ length: 50 }, (_, index) => index);
        const steps = [waiting('wide', { tasks, constraint })];
        const placed = planRound({ nowMs: 0, workers: workers(), steps, budgets: new Map() });
        expect(lookups).to.equal(10);
        expect(new Set(placed.map(({ worker }) => worker))).to.deep.equal(new Set(startable));
      }
    });

    it('asks only for workers that have room for a task', () => {
      const mixed = workers().map((worker, index) => ({ ...worker, free: amount(index) }));
      const asked: string[] = [];
      const constraint = {
        ...constrainTo([], (candidates) => {
          asked.push(...candidates.map(({ id }) => id));
        }),
        known: true,
      };
      const steps = [waiting('large', { size: amount(8), constraint })];
      planRound({ nowMs: 0, workers: mixed, steps, budgets: new Map() });
      expect(asked).to.have.members(['w8', 'w9']);
    });

    it('reserves workers for a gang only where it may run', () => {
      const full = workers().map((worker) => ({ ...worker, free: amount(4) }));
      const constraint = constrainTo(['w0', 'w1']);
      const gang = waiting('gang', { gang: true, size: amount(20), tasks: [0, 1], constraint });
      const narrow = waiting('narrow', { objectiveAtMs: 20_000, size: amount(4), tasks: [0] });
      const options = { nowMs: 0, steps: [gang, narrow], budgets: new Map() };
      const placed = planRound({ ...options, workers: full });
      expect(placed.map(({ step, worker }) => [step.key, worker])).to.deep.equal([
        ['narrow', 'w2'],
      ]);
    });
  });

  describe('a backlog of hundreds of steps in a full cell', () => {
    /** Plans a backlog that fits nowhere, with one small step at its end; returns what was placed. */
    function planBehind(backlog: Partial<WaitingStep>, { count = 400, round = 0 } = {}) {
      const full = candidate('full', { free: amount(2) });
      const other = candidate('other', { service: 'other' });
      const steps = Array.from({ length: count }, (_, index) =>
        waiting(`b${String(index)}`, { size: amount(9), ...backlog }),
      );
      const small = waiting('small', { objectiveAtMs: 20_000 });
      const elsewhere = waiting('elsewhere', { objectiveAtMs: 30_000, service: 'other' });
      const budgets = new Map([['capped', { limit: amount(5), used: amount(5) }]]);
      const placed = planRound({
        nowMs: 0,
        workers: [full, other],
        steps: [...steps, small, elsewhere],
        budgets,
        round,
      });
      return placed.map(({ step }) => step.key);
    }

    it('tries a step behind it in one of eight rounds', () => {
      const rounds = Array.from({ length: 8 }, (_, round) => planBehind({}, { round }));
      expect(rounds.filter((placed) => placed.includes('small'))).to.have.length(1);
    });

    it('looks at an eighth of the steps behind the first ones', () => {
      let lookups = 0;
      const constraint = {
        ...constrainTo([], () => {
          lookups += 1;
        }),
        known: true,
      };
      planBehind({ constraint }, { count: 950 });
      expect(lookups).to.be.within(150 + 95, 150 + 105);
    });

    it('fills holes behind fewer steps at once', () => {
      expect(planBehind({}, { count: 100 })).to.include('small');
    });

    it('does not hold up the work of other services', () => {
      for (const round of [0, 1, 2]) expect(planBehind({}, { round })).to.include('elsewhere');
    });

    it('does not hold up others behind a team that is at its limit', () => {
      for (const round of [0, 1, 2])
        expect(planBehind({ team: 'capped' }, { round })).to.include('small');
    });

    it('does not hold up others behind steps that wait for the advice service', () => {
      for (const round of [0, 1, 2])
        expect(planBehind({ constraint: constrainTo([]) }, { round })).to.include('small');
    });
  });

  describe('choice of a worker', () => {
    it('takes the fullest worker that fits', () => {
      const workers = [candidate('empty'), candidate('half', { free: amount(16) })];
      const [placed] = planRound({
        nowMs: 0,
        workers,
        steps: [waiting('task')],
        budgets: new Map(),
      });
      expect(placed?.worker).to.equal('half');
    });

    it('retries on a worker where the task has not failed', () => {
      const workers = [candidate('failed', { free: amount(2) }), candidate('other')];
      const step = waiting('task', { avoids: (_task, worker) => worker === 'failed' });
      const [placed] = planRound({ nowMs: 0, workers, steps: [step], budgets: new Map() });
      expect(placed?.worker).to.equal('other');
    });

    it('respects the maximum number of tasks of a step on one worker', () => {
      const workers = [candidate('a'), candidate('b')];
      const step = waiting('spread', {
        tasks: [0, 1, 2, 3, 4],
        maxPerWorker: 2,
        placed: new Map([['a', 1]]),
      });
      const placed = planRound({ nowMs: 0, workers, steps: [step], budgets: new Map() });
      expect(placed.map(({ worker }) => worker).sort()).to.deep.equal(['a', 'b', 'b']);
    });

    it('gives a worker on trial one task at a time', () => {
      const workers = [candidate('trial', { healthStatus: 'trial' })];
      const step = waiting('tasks', { tasks: [0, 1, 2] });
      expect(planRound({ nowMs: 0, workers, steps: [step], budgets: new Map() })).to.have.length(1);
    });
  });

  describe('limits', () => {
    it('stays within the limit of a team, also for a gang as a whole', () => {
      const budgets = new Map([['lawns', { limit: amount(5, 0), used: amount(2) }]]);
      const workers = [candidate('a')];
      const gang = waiting('gang', { gang: true, tasks: [0, 1, 2, 3] });
      const single = waiting('single', { objectiveAtMs: 20_000, tasks: [0, 1, 2, 3] });
      const placed = planRound({ nowMs: 0, workers, steps: [gang, single], budgets });
      expect(placed.map(({ step }) => step.key)).to.deep.equal(['single', 'single', 'single']);
    });

    it('never exceeds the resources of a worker, for any mix of steps', () => {
      const step = fc.record({
        cores: fc.integer({ min: 1, max: 20 }),
        count: fc.integer({ min: 1, max: 12 }),
        gang: fc.boolean(),
        priority: fc.integer({ min: 0, max: 2 }),
        objectiveAtMs: fc.integer({ min: -5000, max: 20_000 }),
      });
      fc.assert(
        fc.property(
          fc.array(step, { maxLength: 30 }),
          fc.array(fc.integer({ min: 4, max: 32 }), { minLength: 1, maxLength: 8 }),
          (mix, rooms) => {
            const workers = rooms.map((cores, index) =>
              candidate(String(index), { room: amount(cores) }),
            );
            const steps = mix.map(({ cores, count, ...rest }, index) =>
              waiting(String(index), {
                ...rest,
                size: amount(cores),
                tasks: Array.from({ length: count }, (_, task) => task),
              }),
            );
            const placed = planRound({ nowMs: 0, workers, steps, budgets: new Map() });
            for (const { id, room } of workers) {
              const sizes = placed
                .filter(({ worker }) => worker === id)
                .map((one) => one.step.size);
              const used = sizes.reduce((sum, { processors }) => sum + processors, 0);
              expect(fitsWithin(amount(used), room)).to.equal(true);
            }
            for (const gang of steps.filter((one) => one.gang)) {
              const members = placed.filter((one) => one.step === gang).length;
              expect(members).to.be.oneOf([0, gang.tasks.length]);
            }
          },
        ),
        { seed: 20261204, numRuns: 300 },
      );
    });
  });
});
