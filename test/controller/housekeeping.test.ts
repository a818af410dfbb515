/**
 * Guards against a job that is due so often that its occurrences exhaust the memory of each leader in turn, and against
 * writes that are carried out late and replace or remove what came after them.
 */
import { expect } from 'chai';
import { createCell, createJobEntry } from '../../src/controller/cell.js';
import { createHousekeeping } from '../../src/controller/housekeeping.js';
import type {
  FinishedJob,
  Housekeeping,
  HousekeepingOptions,
} from '../../src/controller/housekeeping.js';
import { createProgress, JOB_STORE_KEYS } from '../../src/jobs/index.js';
import type { Job } from '../../src/jobs/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';
import { createLateStore } from '../records/late-store.js';
import type { LateStore } from '../records/late-store.js';
import { eventually } from './support.js';

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

describe('what the leader writes again and again', () => {
  const OLD_MS = 1_000_000;
  let lateStore: LateStore;
  let pending: number;
  let finishedJobs: Map<string, FinishedJob>;
  let housekeeping: Housekeeping;

  beforeEach(() => {
    lateStore = createLateStore();
    pending = 1;
    finishedJobs = new Map();
    const leader = lateStore.put('leadership/leader', 'host-1');
    housekeeping = createHousekeeping({
      store: lateStore.store,
      cell: { countPending: () => ({ lookup: pending }), openBytes: 0, scheduled: new Set() },
      condition: () => leader,
      active: () => true,
      finishedJobs,
      onChange: () => undefined,
      contain: () => undefined,
      events: SILENT_EVENTS,
    } as unknown as HousekeepingOptions);
  });

  afterEach(() => {
    housekeeping.close();
  });

  const publishedIs = (count: number) => () =>
    lateStore.entries.get(JOB_STORE_KEYS.backlog)?.value === JSON.stringify({ lookup: count }) ||
    undefined;

  // All hosts gave the old count for as long as the count itself did not change.
  it('keeps the newer backlog when an earlier write is carried out late', async () => {
    await eventually(publishedIs(1), 'the first count');
    const { sent } = lateStore;
    pending = 8;
    lateStore.fate = 'late';
    await eventually(() => lateStore.sent > sent || undefined, 'a write without an answer');
    pending = 30;
    lateStore.fate = 'answered';
    await eventually(publishedIs(30), 'the newer count');
    lateStore.deliverLate();
    expect(publishedIs(30)()).to.equal(true);
  });

  // The job was accepted, and nobody knew it any more.
  it('keeps a job that came under the id of one whose removal is carried out late', async () => {
    const key = JOB_STORE_KEYS.progressOf('job');
    const { revision } = lateStore.put(key, 'completed');
    lateStore.fate = 'late';
    const { sent } = lateStore;
    finishedJobs.set('job', { finishedAtMs: Date.now() - OLD_MS, revision });
    await eventually(() => lateStore.sent > sent || undefined, 'a removal without an answer');
    lateStore.fate = 'answered';
    await eventually(() => finishedJobs.size === 0 || undefined, 'the removal');
    lateStore.put(key, 'queued');
    lateStore.deliverLate();
    expect(lateStore.entries.get(key)?.value).to.equal('queued');
  });
});
