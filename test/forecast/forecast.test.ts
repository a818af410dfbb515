import { expect } from 'chai';
import fc from 'fast-check';
import { createForecast } from '../../src/forecast/index.js';
import type { StepWork } from '../../src/forecast/index.js';
import { QUEUES, simulateWorkers } from './simulated-workers.js';
import type { SimulatedQueue, SimulatedWorkers } from './simulated-workers.js';

const WORKERS = 60;
const SEEDS = [1, 2, 3, 4, 5];
const W1 = { id: 'w1', born: 1 };
const STEP: StepWork = {
  key: 'job.0.0',
  service: 'rota',
  queue: 'batch',
  count: 4,
  estimateMs: 1000,
};

function speedsOf(kinds: readonly number[]): number[] {
  return Array.from({ length: WORKERS }, (_, worker) => kinds[worker % kinds.length] ?? 1);
}

/** Share of the pairs of workers of unlike speed that are ranked right, and the errors of the speeds in rising order. */
function judge({ speeds, learnedSpeeds }: SimulatedWorkers, median: number) {
  const learned = learnedSpeeds();
  let pairs = 0;
  let ranked = 0;
  for (const [left, slower] of speeds.entries()) {
    for (const [right, faster] of speeds.entries()) {
      if (slower >= faster) continue;
      pairs += 1;
      if ((learned[left] ?? 1) < (learned[right] ?? 1)) ranked += 1;
    }
  }
  const errors = learned
    .map((speed, worker) => Math.abs((speed * median) / (speeds[worker] ?? 1) - 1))
    .sort((left, right) => left - right);
  return {
    ranked: pairs === 0 ? 1 : ranked / pairs,
    typical: errors[WORKERS / 2] ?? 1,
    largest: errors.at(-1) ?? 1,
  };
}

interface Bound {
  readonly ends: number;
  readonly ranked: number;
  readonly typical: number;
  readonly largest: number;
}

/** Guards against speeds that are learned too slowly or not at all: the bounds hold at each number of ends a worker. */
function learns(
  load: string,
  kinds: readonly number[],
  queues: readonly SimulatedQueue[],
  bounds: readonly Bound[],
) {
  it(load, () => {
    for (const seed of SEEDS) {
      const cell = simulateWorkers({ speeds: speedsOf(kinds), queues, seed });
      let done = 0;
      for (const { ends, ...bound } of bounds) {
        cell.run((ends - done) * WORKERS);
        done = ends;
        const result = judge(cell, kinds[1] ?? 1);
        const context = `seed ${String(seed)}, ${String(ends)} ends a worker`;
        expect(result.ranked, `ranked pairs, ${context}`).to.be.at.least(bound.ranked);
        expect(result.typical, `typical error, ${context}`).to.be.at.most(bound.typical);
        expect(result.largest, `largest error, ${context}`).to.be.at.most(bound.largest);
      }
    }
  });
}

describe('forecast', () => {
  describe('of the speed of workers with 0.7, 0.7 and 1.7 of the nominal speed', () => {
    const kinds = [0.7, 0.7, 1.7];
    const bounds = [
      { ends: 4, ranked: 0.99, typical: 0.25, largest: 0.6 },
      { ends: 8, ranked: 1, typical: 0.12, largest: 0.3 },
      { ends: 16, ranked: 1, typical: 0.06, largest: 0.2 },
      { ends: 32, ranked: 1, typical: 0.05, largest: 0.16 },
    ];
    learns(
      'follows urgent steps of 3 tasks, estimates within 20 %',
      kinds,
      QUEUES.slice(0, 1),
      bounds,
    );
    learns('follows steps of 25 tasks, estimates within 50 %', kinds, QUEUES.slice(1, 2), bounds);
    learns('follows steps of 25 tasks, estimates within 90 %', kinds, QUEUES.slice(2), bounds);
    learns('follows all of these together', kinds, QUEUES, bounds);
  });

  describe('of the speed of workers with 0.8, 1 and 1.25 of the nominal speed', () => {
    const kinds = [0.8, 1, 1.25];
    const bounds = [
      { ends: 8, ranked: 0.97, typical: 0.08, largest: 0.3 },
      { ends: 16, ranked: 0.99, typical: 0.05, largest: 0.2 },
      { ends: 32, ranked: 0.999, typical: 0.04, largest: 0.15 },
    ];
    learns(
      'follows urgent steps of 3 tasks, estimates within 20 %',
      kinds,
      QUEUES.slice(0, 1),
      bounds,
    );
    learns('follows steps of 25 tasks, estimates within 90 %', kinds, QUEUES.slice(2), bounds);
    learns('follows all loads together', kinds, QUEUES, bounds);
  });

  describe('of workers of equal speed', () => {
    // Guards against a planner that prefers some workers because of noise.
    learns('stays near 1', [1, 1, 1], QUEUES, [
      { ends: 8, ranked: 1, typical: 0.06, largest: 0.25 },
      { ends: 32, ranked: 1, typical: 0.04, largest: 0.15 },
    ]);
  });

  describe('of a worker that turns five times slower', () => {
    it('follows within 4 of its ends', () => {
      const speeds = speedsOf([1, 1, 1]);
      const cell = simulateWorkers({ speeds, queues: QUEUES, seed: 6 });
      cell.run(20 * WORKERS);
      cell.speeds[0] = 0.2;
      // The task that runs has its end already and is not slower.
      const before = cell.endsOn(0) + 1;
      while (cell.endsOn(0) < before + 4) cell.run(1);
      expect(cell.learnedSpeeds()[0]).to.be.within(0.15, 0.3);
      const others = cell.learnedSpeeds().slice(1);
      expect(Math.min(...others)).to.be.above(0.85);
      expect(Math.max(...others)).to.be.below(1.18);
    });

    it('follows the reported percents of two runs, before any of them ends', () => {
      const cell = simulateWorkers({ speeds: speedsOf([1, 1, 1]), queues: QUEUES, seed: 7 });
      cell.run(20 * WORKERS);
      const worker = { id: 'w0', born: 1 };
      for (const key of ['slow-1', 'slow-2']) {
        const step = { ...STEP, key, queue: 'urgent', estimateMs: 1000 };
        const progress = { percent: 10, elapsedMs: 500 };
        expect(cell.forecast.learnProgress(step, worker, progress)).to.equal(true);
      }
      expect(cell.forecast.speedOf(worker)).to.be.within(0.15, 0.35);
    });

    it('does not take a task that is slower than its estimate by half for a slow worker', () => {
      const cell = simulateWorkers({ speeds: speedsOf([1, 1, 1]), queues: QUEUES, seed: 8 });
      cell.run(20 * WORKERS);
      const worker = { id: 'w0', born: 1 };
      const speed = cell.forecast.speedOf(worker);
      const step = { ...STEP, queue: 'urgent', estimateMs: 1000 };
      const progress = { percent: 33, elapsedMs: 500 };
      expect(cell.forecast.learnProgress(step, worker, progress)).to.equal(false);
      expect(cell.forecast.speedOf(worker)).to.equal(speed);
    });
  });

  describe('of the work of tasks', () => {
    it('equals the estimate while nothing is learned', () => {
      const forecast = createForecast();
      for (const estimateMs of [1000, 333, 0.7, 12_345.678]) {
        expect(forecast.workOf({ ...STEP, estimateMs }).workMs).to.equal(estimateMs);
      }
      expect(forecast.workOf({ ...STEP, estimateMs: 0 }).workMs).to.equal(0);
      expect(forecast.speedOf(W1)).to.equal(1);
      expect(forecast.nominalFactorOf('rota')).to.equal(1);
    });

    it('changes little by a few ends, even if these took four times their estimate', () => {
      const forecast = createForecast({ now: () => 0 });
      for (const task of [1, 2, 3]) {
        const step = { ...STEP, key: `job.0.${String(task)}`, count: 1 };
        forecast.learnEnd(step, { id: `w${String(task)}`, born: 1 }, 4000);
      }
      expect(forecast.workOf({ ...STEP, key: 'new' }).workMs).to.be.within(900, 1600);
    });

    it('learns the bias of one queue and leaves the others as they are', () => {
      const queues = QUEUES.slice(0, 2).map((queue) =>
        queue.name === 'batch' ? { ...queue, bias: 0.5 } : queue,
      );
      const cell = simulateWorkers({ speeds: speedsOf([0.8, 1, 1.25]), queues, seed: 9 });
      cell.run(100 * WORKERS);
      // The estimates of the queue are half of the work.
      expect(cell.expectWork('batch', 1450) / 2900).to.be.within(0.85, 1.2);
      expect(cell.expectWork('urgent', 540) / 540).to.be.within(0.9, 1.12);
    });

    it('takes the largest estimates of a queue with errors up to 90 % for too large', () => {
      const cell = simulateWorkers({
        speeds: speedsOf([1, 1, 1]),
        queues: QUEUES.slice(2),
        seed: 10,
      });
      cell.run(100 * WORKERS);
      expect(cell.expectWork('rough', 9000)).to.be.below(8000);
      expect(cell.expectWork('rough', 700)).to.be.above(900);
    });

    it('tells the nominal speed from the estimates if the median worker has another one', () => {
      const cell = simulateWorkers({ speeds: speedsOf([0.7, 0.7, 1.7]), queues: QUEUES, seed: 11 });
      cell.run(50 * WORKERS);
      expect(cell.expectWork('urgent', 540)).to.be.within(540 / 0.8, 540 / 0.6);
      expect(cell.forecast.nominalFactorOf('rota')).to.be.within(0.6, 0.8);
    });

    it('follows the ends of the step itself, whatever its estimate', () => {
      const cell = simulateWorkers({ speeds: speedsOf([1, 1, 1]), queues: QUEUES, seed: 13 });
      cell.run(20 * WORKERS);
      const step = { ...STEP, queue: 'rough' };
      for (const id of ['w1', 'w2', 'w3']) cell.forecast.learnEnd(step, { id, born: 1 }, 300);
      expect(cell.forecast.workOf(step).workMs).to.be.within(280, 330);
    });

    it('divides a difference between task and workers while none of these is known', () => {
      const forecast = createForecast();
      for (const id of ['w1', 'w2', 'w3']) forecast.learnEnd(STEP, { id, born: 1 }, 300);
      expect(forecast.workOf(STEP).workMs).to.be.within(400, 600);
      expect(forecast.speedOf(W1)).to.be.within(1.1, 1.7);
    });
  });

  describe('of gangs', () => {
    it('takes nothing about the speed of workers from them, as their members end together', () => {
      let now = 0;
      const forecast = createForecast({ now: () => now });
      const workers = [W1, { id: 'w2', born: 1 }];
      for (let gang = 0; gang < 20; gang += 1) {
        now += 100;
        forecast.learnGangEnd({ ...STEP, key: `gang-${String(gang)}` }, workers, 5000);
      }
      expect(workers.map((worker) => forecast.speedOf(worker))).to.deep.equal([1, 1]);
      expect(forecast.workOf({ ...STEP, key: 'new' }).workMs).to.be.above(1000);
    });
  });

  describe('of workers that restart or leave', () => {
    it('starts anew with each incarnation', () => {
      const cell = simulateWorkers({ speeds: speedsOf([0.7, 0.7, 1.7]), queues: QUEUES, seed: 12 });
      cell.run(8 * WORKERS);
      expect(cell.forecast.speedOf({ id: 'w2', born: 1 })).to.be.above(1.5);
      expect(cell.forecast.speedOf({ id: 'w2', born: 2 })).to.equal(1);
      cell.forecast.retainWorkers([{ id: 'w1', born: 1 }]);
      expect(cell.forecast.speedOf({ id: 'w2', born: 1 })).to.equal(1);
      expect(cell.forecast.summarize().workers).to.equal(1);
    });
  });

  // Guards against values that the planner cannot compare, which would undo the order of all steps.
  it('gives finite values within its bounds for any durations and estimates', () => {
    const end = fc.record({
      step: fc.nat(5),
      worker: fc.nat(4),
      estimateMs: fc.oneof(fc.constant(0), fc.double({ min: 1, max: 1e8, noNaN: true })),
      tookMs: fc.oneof(fc.constant(0), fc.double({ min: 0, max: 1e8, noNaN: true })),
      percent: fc.nat(100),
    });
    const property = fc.property(fc.array(end, { maxLength: 60 }), (ends) => {
      let now = 0;
      const forecast = createForecast({ now: () => now });
      for (const { step: number, worker: index, estimateMs, tookMs, percent } of ends) {
        now += 300;
        const step = { ...STEP, key: String(number), estimateMs };
        const worker = { id: String(index), born: 1 };
        forecast.learnProgress(step, worker, { percent, elapsedMs: tookMs });
        expect(forecast.learnEnd(step, worker, tookMs)).to.be.within(0, 1e12);
        expect(forecast.speedOf(worker)).to.be.within(0.05, 20);
        expect(forecast.nominalFactorOf('rota')).to.be.within(1e-4, 1e4);
        expect(forecast.workOf(step).workMs).to.be.within(0, 1e12);
        expect(forecast.workOf(step).variance).to.be.within(0, 10);
      }
    });
    fc.assert(property);
  });
});
