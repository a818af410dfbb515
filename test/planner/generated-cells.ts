/** Generated cells for comparing the decisions of the planner with those of another version or other speeds. */
import type { CandidateWorker, WaitingStep } from '../../src/planner/index.js';
import type { PlanOptions } from '../../src/planner/index.js';
import { amount, candidate, constrainTo, waiting } from './support.js';

export interface GeneratedCell extends PlanOptions {
  readonly workers: readonly CandidateWorker[];
}

/** A linear congruential generator of its own, so that recorded decisions do not depend on a library's version. */
export function createDraw(seed: number): (below: number) => number {
  let state = seed >>> 0;
  return (below) => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor((state / 2 ** 32) * below);
  };
}

/** A cell at 60 to 93 % of its cores with gangs, deferrable and urgent steps, permits, labels, trials and budgets. */
export function generateCell(
  seed: number,
  speedOf: (worker: number) => number = () => 1,
): GeneratedCell {
  const draw = createDraw(seed);
  const count = 10 + draw(50);
  const used = 0.6 + draw(34) / 100;
  const workers = Array.from({ length: count }, (_, index) => {
    const free = Math.round(64 * Math.min(1, (1 - used) * (draw(200) / 100)));
    return candidate(`w${String(index)}`, {
      rack: `r${String(index % 6)}`,
      room: amount(64),
      free: amount(free),
      runs: draw(4),
      labels: draw(3) === 0 ? ['fast-disk'] : [],
      healthStatus: draw(12) === 0 ? 'trial' : draw(20) === 0 ? 'avoided' : 'trusted',
      speed: speedOf(index),
    });
  });
  const steps = Array.from({ length: 5 + draw(60) }, (_, index) =>
    generateStep(`s${String(index)}`, draw, count),
  );
  const budgets = new Map([
    ['lawns', { limit: amount(40 + draw(400), 0), used: amount(draw(60)) }],
    ['gates', { limit: amount(0), used: amount(0) }],
  ]);
  return { nowMs: 1000, workers, steps, budgets, round: draw(8), maxUnplacedSteps: 5 + draw(40) };
}

/** Classes: gangs of 18 cores, deferrable steps of 7 cores, urgent steps of 10 cores. */
function generateStep(key: string, draw: (below: number) => number, workers: number): WaitingStep {
  const [gang, urgent] = [draw(5) === 0, draw(3) === 0];
  const workMs = gang ? 5000 : urgent ? 550 : 2500;
  const tasks = Array.from({ length: gang ? 2 + draw(10) : urgent ? 3 : 25 }, (_, task) => task);
  const permitted = Array.from({ length: workers }, (_, index) => `w${String(index)}`).filter(
    () => draw(3) === 0,
  );
  const remainingMs = workMs + draw(3) * 500;
  const objectiveAtMs = 1000 + Math.round((remainingMs * (draw(400) - 50)) / 100);
  return waiting(key, {
    team: ['lawns', 'gates', 'league'][draw(3)] ?? 'lawns',
    priority: urgent ? 0 : 1,
    beyondShare: draw(10) === 0,
    objectiveAtMs,
    uselessAtMs: objectiveAtMs + draw(10) * 1000,
    remainingMs,
    workMs,
    size: amount(gang ? 18 : urgent ? 10 : 7),
    tasks,
    gang,
    rackSensitive: draw(5) === 0,
    dataRack: draw(4) === 0 ? `r${String(draw(6))}` : undefined,
    requiredLabel: draw(8) === 0 ? 'fast-disk' : undefined,
    maxPerWorker: draw(6) === 0 ? 1 + draw(3) : undefined,
    placed: draw(6) === 0 ? new Map([['w1', 1]]) : new Map(),
    constraint: draw(2) === 0 ? constrainTo(permitted) : undefined,
    avoids: draw(10) === 0 ? (_task, worker) => worker === 'w2' : () => false,
  });
}
