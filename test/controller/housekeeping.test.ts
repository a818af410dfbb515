/** Guards against a job that is due so often that its occurrences exhaust the memory of each leader in turn. */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createHousekeeping } from '../../src/controller/housekeeping.js';
import type { HousekeepingOptions } from '../../src/controller/housekeeping.js';
import { createProgress } from '../../src/jobs/index.js';
import type { Job } from '../../src/jobs/index.js';
import { STEP } from '../jobs/support.js';

const MAX_OPEN = 500;

function createCase(count: number) {
  const job: Job = {
    id: 'job',
    team: 'lawns',
    queue: 'lookup',
    service: 'rota',
    spec: 'text',
    steps: [{ ...STEP, count }],
    schedule: { firstAtMs: 0, intervalMs: 0, count: 2000 },
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  };
  const progress = createProgress(job);
  const entry = createJobEntry({ progress, queue: undefined, beyondShare: false });
  const housekeeping = createHousekeeping({
    cell: createCell({ now: () => 0, onStepSettled: () => undefined }),
    onChange: () => undefined,
  } as unknown as HousekeepingOptions);
  housekeeping.close();
  return {
    progress,
    beginDue: () => {
      housekeeping.beginDueOccurrences(entry);
    },
  };
}

describe('due occurrences of a job', () => {
  it('begin up to a bound, and the others as these end', () => {
    const { progress, beginDue } = createCase(1);
    beginDue();
    expect(progress.occurrences.size).to.equal(MAX_OPEN);
    for (const number of [0, 1, 2]) progress.occurrences.delete(number);
    beginDue();
    expect(progress.occurrences.size).to.equal(MAX_OPEN);
    expect(progress.nextOccurrence).to.equal(MAX_OPEN + 3);
  });

  it('have a bounded number of tasks', () => {
    const { progress, beginDue } = createCase(10_000);
    beginDue();
    expect(progress.occurrences.size).to.equal(10);
  });
});
