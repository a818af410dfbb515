/**
 * Guards against expected waits that are published from an old planning round, by a host that no longer leads, or never
 * again after a write whose answer was lost.
 */
import { expect } from 'chai';
import { decodeWaits, EXPECTED_WAIT_KEY } from '../../src/admission/index.js';
import type { WaitRecord } from '../../src/admission/index.js';
import type { Run } from '../../src/controller/run.js';
import { createWaitPublisher } from '../../src/controller/wait-publisher.js';
import type { WaitPublisher, WaitPublisherOptions } from '../../src/controller/wait-publisher.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { WaitingStep } from '../../src/planner/index.js';
import { STEP } from '../jobs/support.js';
import { createLateStore } from '../records/late-store.js';
import type { LateStore } from '../records/late-store.js';
import { eventually } from './support.js';

const SIZE = { processors: 10, memoryMb: 1, accelerators: 0 };
const NO_ROOM = { processors: 0, memoryMb: 0, accelerators: 0 };
const QUEUE = {
  name: 'checks',
  service: 'seams',
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 3000,
  maxAttempts: 3,
};
const JOB = { queue: 'checks', service: 'seams', team: 'lawns', steps: [], id: 'job' };

/** Steps of urgent work that need far longer than a second at 100 cores. */
function createSteps(): WaitingStep[] {
  return Array.from({ length: 50 }, (_, index) => ({
    key: `job-${String(index)}`,
    service: 'seams',
    team: 'lawns',
    priority: 0,
    beyondShare: false,
    objectiveAtMs: Date.now() + 3000,
    uselessAtMs: Date.now() + 9000,
    remainingMs: 500,
    size: SIZE,
    workMs: 500,
    gang: false,
    requiredLabel: undefined,
    constraint: undefined,
  })) as unknown as WaitingStep[];
}

function createRun(inherited: boolean): Run {
  return {
    progress: { job: JOB },
    step: { step: { ...STEP, estimateMs: 500 } },
    team: 'lawns',
    size: SIZE,
    inherited,
    startedAt: 3500,
  } as unknown as Run;
}

describe('publication of expected waits by the leader', () => {
  let lateStore: LateStore;
  let publisher: WaitPublisher;
  let steps: WaitingStep[];
  let active: boolean;
  let nowMs: number;
  const meters = createMeters();

  beforeEach(() => {
    lateStore = createLateStore();
    active = true;
    nowMs = 0;
    steps = createSteps();
    const leader = lateStore.put('leadership/leader', 'host-1');
    const session = {
      worker: { service: 'seams', room: { ...NO_ROOM, processors: 100 } },
      used: { ...NO_ROOM, processors: 100 },
      runs: new Map(Array.from({ length: 10 }, (_, index) => [String(index), createRun(false)])),
    };
    publisher = createWaitPublisher({
      store: lateStore.store,
      epoch: 3,
      cell: {
        ready: new Map(
          steps.map(({ key }) => [
            key,
            { key, entry: { progress: { job: JOB } }, step: { waitingCount: 1 } },
          ]),
        ),
      },
      sessions: () => ({ all: () => [session], usable: () => [session] }),
      share: { scarce: () => [{ name: 'lawns', jobs: 0, perSecond: 2 }] },
      configuration: () => ({ queues: [QUEUE] }),
      condition: () => leader,
      active: () => active,
      hosts: () => 4,
      events: SILENT_EVENTS,
      meters,
      now: () => nowMs,
    } as unknown as WaitPublisherOptions);
  });

  afterEach(() => {
    publisher.close();
  });

  const published = (): WaitRecord | undefined =>
    decodeWaits(lateStore.entries.get(EXPECTED_WAIT_KEY)?.value);
  const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

  /** Lets the leader begin to measure, and gives it a round after the time in which it reports nothing. */
  async function measure() {
    await pause(500);
    nowMs += 4000;
    for (let end = 0; end < 20; end += 1) publisher.noteEnd(createRun(false), 'done');
    publisher.noteRound({ steps, barriers: new Map() });
  }

  it('names the queue with its wait and the teams beyond their share', async () => {
    await measure();
    const record = await eventually(published, 'a record');
    expect(record).to.include({ epoch: 3, number: 1, hosts: 4 });
    expect(record.queues.checks?.within.onTimeMs).to.be.greaterThan(1000);
    expect(record.teams).to.deep.equal({ lawns: { jobs: 0, perSecond: 2 } });
    expect(await meters.render()).to.match(
      /expected_wait_seconds{queue="checks",share="within"} \d/,
    );
  });

  it('reports nothing in the first seconds of a term', async () => {
    publisher.noteRound({ steps, barriers: new Map() });
    await pause(900);
    expect(published()).to.equal(undefined);
  });

  it('reports nothing while the jobs are still being restored or the term has ended', async () => {
    await measure();
    active = false;
    await pause(900);
    expect(published()).to.equal(undefined);
  });

  it('becomes empty when planning has stopped', async () => {
    await measure();
    await eventually(published, 'a record');
    nowMs += 1500;
    const isEmpty = () => Object.keys(published()?.queues ?? { checks: 0 }).length === 0;
    await eventually(() => isEmpty() || undefined, 'an empty record');
  });

  it('goes on after a write whose answer was lost', async () => {
    lateStore.fate = 'unanswered';
    await measure();
    await eventually(published, 'a record');
    lateStore.fate = 'answered';
    await eventually(() => {
      nowMs += 1;
      publisher.noteRound({ steps, barriers: new Map() });
      return lateStore.sent > 2 ? true : undefined;
    }, 'further writes');
    expect(published()?.number).to.equal(1);
  });

  it('leaves out steps that wait for something other than room', async () => {
    await measure();
    publisher.noteRound({ steps, barriers: new Map(steps.map(({ key }) => [key, 'permit'])) });
    await pause(900);
    expect(published()).to.equal(undefined);
  });

  it('names a team at its upper limit with its wait', async () => {
    await measure();
    publisher.noteRound({ steps, barriers: new Map(steps.map(({ key }) => [key, 'limit'])) });
    const record = await eventually(published, 'a record');
    expect(record.queues).to.deep.equal({});
    expect(record.limited.lawns?.checks?.within.onTimeMs).to.be.greaterThan(1000);
  });
});
