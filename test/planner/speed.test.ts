/**
 * Placement on workers of different speed, with the loads of the specification: gangs of 18 of 64 cores (5 s), deferrable
 * tasks of 7 cores (2 to 3 s) and urgent tasks of 10 cores (0.5 to 0.6 s) on workers at 0.7, 1.0 and 1.7 of the nominal
 * speed.
 */
import { createHash } from 'node:crypto';
import { expect } from 'chai';
import { planRound } from '../../src/planner/index.js';
import type { CandidateWorker, WaitingStep } from '../../src/planner/index.js';
import { createDraw, generateCell } from './generated-cells.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

const GROUPS = 10;
const CELLS_IN_GROUP = 40;
/** Digests of the placements of each group of cells by commit d22c89a, whose planner treats all workers as equal. */
const RECORDED: readonly string[] = [
  'e3349d299f85',
  'f66200ff6724',
  '33f838e4bd34',
  '76a83b1251ba',
  '370e251541e3',
  'bc22d60ef0d0',
  '956e02ba26ff',
  '077da0c75acc',
  '113daf074b60',
  '0217edc96a2d',
];

describe('placement on workers of different speed', () => {
  describe('without a difference in speed', () => {
    /** Placements of a group of generated cells, as a digest. */
    function digestOf(group: number, speedOf: (draw: (below: number) => number) => number) {
      const hash = createHash('sha256');
      for (let index = 0; index < CELLS_IN_GROUP; index += 1) {
        const seed = group * CELLS_IN_GROUP + index;
        const draw = createDraw(seed + 1_000_000);
        const placed = planRound(generateCell(seed, () => speedOf(draw)));
        hash.update(
          JSON.stringify(placed.map(({ step, task, worker }) => [step.key, task, worker])),
        );
      }
      return hash.digest('hex').slice(0, 12);
    }

    const groups = Array.from({ length: GROUPS }, (_, group) => group);

    // A leader that has learned nothing must place as one without a forecast.
    it('places as the planner did that treats all workers as equal, on generated cells', () => {
      expect(groups.map((group) => digestOf(group, () => 1))).to.deep.equal(RECORDED);
    });

    // Learned speeds differ by a few percent between workers of the same kind.
    it('does so too with speeds that differ by less than 10 %', () => {
      const noisy = (draw: (below: number) => number) => 0.95 + draw(90) / 1000;
      expect(groups.map((group) => digestOf(group, noisy))).to.deep.equal(RECORDED);
    });
  });

  /** Workers with the given speeds, each with room for three members of a gang. */
  function workersOf(speeds: Record<string, number>, options: Partial<CandidateWorker> = {}) {
    return Object.entries(speeds).map(([id, speed]) =>
      candidate(id, { room: amount(64), speed, ...options }),
    );
  }

  function place(
    workers: readonly CandidateWorker[],
    steps: readonly WaitingStep[],
    nowMs = 0,
  ): string[] {
    return planRound({ nowMs, workers, steps, budgets: new Map() }).map(({ worker }) => worker);
  }

  describe('gangs of 18 of 64 cores for 5 s', () => {
    const gangOf = (members: number, objectiveAtMs: number, options: Partial<WaitingStep> = {}) =>
      waiting('gang', {
        gang: true,
        size: amount(18),
        workMs: 5000,
        remainingMs: 5000,
        objectiveAtMs,
        tasks: Array.from({ length: members }, (_, task) => task),
        ...options,
      });
    const MIXED = { f1: 1.7, f2: 1.7, m1: 1, m2: 1, s1: 0.7, s2: 0.72 };

    // The members on fast workers would hold them until the slowest has ended.
    it('places a gang with ample time on the slowest workers of similar speed that hold it', () => {
      expect(new Set(place(workersOf(MIXED), [gangOf(6, 20_000)]))).to.have.keys('s1', 's2');
    });

    it('takes faster workers for a gang that would be late on slow ones', () => {
      expect(new Set(place(workersOf(MIXED), [gangOf(6, 7000)]))).to.have.keys('m1', 'm2');
      expect(new Set(place(workersOf(MIXED), [gangOf(6, 4500)]))).to.have.keys('f1', 'f2');
    });

    it('ends a gang that is late anyway as soon as possible, without a slow member', () => {
      expect(new Set(place(workersOf(MIXED), [gangOf(6, 1000)]))).to.have.keys('f1', 'f2');
      expect(new Set(place(workersOf(MIXED), [gangOf(9, 1000)]))).to.have.keys('f1', 'f2', 'm1');
    });

    it('prefers the set that differs least if no similar workers hold the gang', () => {
      const placed = place(workersOf(MIXED), [gangOf(12, 20_000)]);
      expect(new Set(placed)).to.have.keys('m1', 'm2', 's1', 's2');
    });

    it('starts a gang that fits only on all workers', () => {
      expect(place(workersOf(MIXED), [gangOf(18, 20_000)])).to.have.length(18);
    });

    it('chooses among the workers with a permit only', () => {
      const constraint = constrainTo(['f1', 'm1', 'm2']);
      const placed = place(workersOf(MIXED), [gangOf(6, 20_000, { constraint })]);
      expect(new Set(placed)).to.have.keys('m1', 'm2');
    });

    // One failure costs the whole gang a run, so speed must not draw it to a worker on trial.
    it('leaves the choice between trusted workers and those on trial as it is', () => {
      const workers = [
        candidate('trial', { room: amount(64), speed: 0.7, healthStatus: 'trial' }),
        candidate('idle', { room: amount(36), speed: 1.7 }),
      ];
      expect(place(workers, [gangOf(3, 2000)], 3000)).to.deep.equal(['idle', 'idle', 'trial']);
    });

    // Members on a worker where the gang has failed before would cost it another run.
    it('avoids a worker where a member has failed if the others hold the gang', () => {
      const avoids = (task: number, worker: string) => task === 4 && worker === 's1';
      const placed = place(workersOf(MIXED), [gangOf(6, 20_000, { avoids })]);
      expect(new Set(placed)).to.have.keys('m1', 'm2');
    });

    it('keeps the data rack ahead of speed', () => {
      const workers = [
        ...workersOf({ s1: 0.7, s2: 0.7 }),
        ...workersOf({ f1: 1.7, f2: 1.7 }, { rack: 'r9' }),
      ];
      const placed = place(workers, [gangOf(6, 20_000, { dataRack: 'r9' })]);
      expect(new Set(placed)).to.have.keys('f1', 'f2');
    });

    describe('that do not fit yet', () => {
      const filler = waiting('filler', {
        size: amount(7),
        objectiveAtMs: 90_000,
        tasks: [0, 1, 2, 3],
      });
      const reservedFor = (gang: WaitingStep, workers: CandidateWorker[]) => {
        const open = new Set(place(workers, [gang, filler]));
        return workers.map(({ id }) => id).filter((id) => !open.has(id));
      };
      const nearlyFull = () => workersOf({ f1: 1.7, m1: 1, s1: 0.7 }, { free: amount(8), runs: 3 });

      // A mixed reservation would start the gang on a mixed set.
      it('reserve workers of similar speed on which they end on time', () => {
        expect(reservedFor(gangOf(3, 7000), nearlyFull())).to.deep.equal(['m1']);
        expect(reservedFor(gangOf(3, 4900), nearlyFull())).to.deep.equal(['f1']);
      });

      it('reserve workers of all speeds if no similar ones would hold them', () => {
        expect(reservedFor(gangOf(6, 20_000), nearlyFull())).to.have.length(2);
      });
    });
  });

  describe('urgent tasks of 10 cores for 0.55 s, due after 1.5 times that and 0.25 s', () => {
    const urgent = (options: Partial<WaitingStep> = {}) =>
      waiting('urgent', {
        priority: 0,
        size: amount(10),
        workMs: 550,
        remainingMs: 550,
        objectiveAtMs: 1075,
        tasks: [0, 1, 2],
        ...options,
      });
    const cell = () => [
      candidate('fast', { room: amount(64), free: amount(40), speed: 1.7 }),
      candidate('nominal', { room: amount(64), free: amount(50), speed: 1 }),
      candidate('slow', { room: amount(64), free: amount(30), speed: 0.7 }),
    ];

    it('takes the fullest worker while all are fast enough', () => {
      expect(place(cell(), [urgent()])).to.deep.equal(['slow', 'slow', 'slow']);
    });

    it('takes the fullest of the workers that are fast enough after a wait', () => {
      expect(place(cell(), [urgent()], 350)).to.deep.equal(['fast', 'fast', 'fast']);
      const room = cell().map((worker) => ({
        ...worker,
        free: amount(worker.speed > 1 ? 60 : 15),
      }));
      expect(place(room, [urgent()], 350)).to.deep.equal(['nominal', 'fast', 'fast']);
    });

    it('takes the fastest with room if none is fast enough', () => {
      expect(place(cell(), [urgent()], 950)).to.deep.equal(['fast', 'fast', 'fast']);
      const room = cell().map((worker) => ({ ...worker, free: amount(worker.speed > 1 ? 5 : 15) }));
      expect(place(room, [urgent()], 950)).to.deep.equal(['nominal', 'slow']);
    });

    it('starts on a slow worker at once if no other has room', () => {
      const room = cell().map((worker) => ({ ...worker, free: amount(worker.speed < 1 ? 30 : 5) }));
      expect(place(room, [urgent()], 950)).to.deep.equal(['slow', 'slow', 'slow']);
    });

    it('does not take fast workers for a result that is of no use any more', () => {
      const step = urgent({ uselessAtMs: 3225 });
      expect(place(cell(), [step], 3000)).to.deep.equal(['slow', 'slow', 'slow']);
    });
  });

  describe('deferrable tasks of 7 cores for 2.5 s', () => {
    const deferrable = (objectiveAtMs: number) =>
      waiting('medium', {
        size: amount(7),
        workMs: 2500,
        remainingMs: 2500,
        objectiveAtMs,
        tasks: [0, 1, 2],
      });
    const cell = () => [
      candidate('fast', { room: amount(64), free: amount(25), speed: 1.7 }),
      candidate('nominal', { room: amount(64), free: amount(14), speed: 1 }),
      candidate('slow', { room: amount(64), free: amount(60), speed: 0.7 }),
    ];

    // Urgent work that comes next would find only slow workers.
    it('with ample slack leave the fast workers free while slower ones have room', () => {
      expect(place(cell(), [deferrable(30_000)])).to.deep.equal(['slow', 'slow', 'slow']);
    });

    it('with little slack go to the fullest workers that are fast enough', () => {
      expect(place(cell(), [deferrable(3300)])).to.deep.equal(['nominal', 'nominal', 'fast']);
      expect(place(cell(), [deferrable(2000)])).to.deep.equal(['fast', 'fast', 'fast']);
    });

    it('with ample slack use fast workers if nothing else has room', () => {
      const room = cell().map((worker) => ({ ...worker, free: amount(worker.speed > 1 ? 25 : 3) }));
      expect(place(room, [deferrable(30_000)])).to.deep.equal(['fast', 'fast', 'fast']);
    });
  });
});
