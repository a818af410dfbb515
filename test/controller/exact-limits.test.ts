/**
 * Limits of teams against what their runs of fractional cores add up to.
 */
import { expect } from 'chai';
import { createCell } from '../../src/controller/cell.js';
import {
  createWorkerLookup,
  describePermitRequests,
} from '../../src/controller/permit-requests.js';
import type { PermitWorker } from '../../src/controller/permit-requests.js';
import { planRound } from '../../src/planner/index.js';
import { amount, candidate, waiting } from '../planner/support.js';

function planWith(used: readonly number[], ended: readonly number[], gangOf: readonly number[]) {
  const cell = createCell({ now: () => 0, onStepSettled: () => undefined });
  for (const cores of used) cell.charge('lawns', amount(cores, 0));
  for (const cores of ended) cell.release('lawns', amount(cores, 0));
  const gang = waiting('gang', { gang: true, size: amount(0.1, 0), tasks: gangOf });
  const budgets = new Map([['lawns', { limit: amount(0.3, 0), used: cell.usedBy('lawns') }]]);
  return planRound({ nowMs: 0, workers: [candidate('w')], steps: [gang], budgets });
}

describe('a gang that needs exactly what its team has left', () => {
  // 0.1 + 0.2 - 0.1 - 0.2 leaves 2.8e-17, and the gang waited for ever.
  it('starts once the other runs of the team have ended', () => {
    expect(planWith([0.1, 0.2], [0.1, 0.2], [0, 1, 2])).to.have.length(3);
  });

  it('starts beside runs that leave it just enough, and not beside more', () => {
    expect(planWith([0.7, 0.1], [0.7], [0, 1])).to.have.length(2);
    expect(planWith([0.7, 0.1], [0.7], [0, 1, 2])).to.have.length(0);
  });
});

describe('a task that needs exactly what a worker has left', () => {
  // 0.3 - 0.1 leaves a little less than 0.2, and the advice service was not asked about the worker.
  it('counts the worker as one with room', () => {
    const { room, ...worker } = candidate('w', { room: amount(0.3) });
    const incarnation = { id: worker.id, born: 1 };
    const session = { incarnation, worker: { ...worker, room }, used: amount(0.1) };
    const [request] = describePermitRequests({
      steps: [waiting('step', { size: amount(0.2) })],
      barriers: new Map(),
      queueOf: () => ({ name: 'q', advice: { decideMs: 1, perWorkerMs: 1, validMs: 1 } }),
      tasksOf: () => 1,
      workersOf: createWorkerLookup(() => [session as unknown as PermitWorker]),
      round: 0,
    });
    expect(request?.withRoom).to.equal(1);
  });
});
