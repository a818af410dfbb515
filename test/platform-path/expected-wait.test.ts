/**
 * Guards against urgent jobs that are accepted in a burst although they can only end after their result is of use, and
 * against refusals of jobs that were accepted before.
 */
import { expect } from 'chai';
import type { CellHost } from '../../src/cell-host/index.js';
import { decodeWaits, EXPECTED_WAIT_KEY } from '../../src/admission/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import { awaitState, CALLER, eventually, expectDefined, startTestCell, submit } from './support.js';
import type { TestCell } from './support.js';

const WORK_MS = 300;
/** The worker does about three jobs a second. */
const PROCESSORS = 4;
const JOBS_PER_SECOND = 25;
/** The leader measures for 3 s, and a job has to be late for most of a second before others are refused. */
const BURST_MS = 9000;

interface Submission {
  readonly id: string;
  readonly host: CellHost;
  readonly answer: Awaited<ReturnType<typeof submit>>['answer'];
}

describe('a burst of urgent work', function () {
  this.timeout(60_000);
  let cell: TestCell;
  let refusals: EventFields[];

  beforeEach(async () => {
    refusals = [];
    cell = await startTestCell({
      hosts: 3,
      workers: 0,
      events: {
        ...SILENT_EVENTS,
        info: (event, fields) => {
          if (event === 'job-submitted' && fields?.outcome === 'refused') refusals.push(fields);
        },
      },
    });
    await cell.addWorker({ processorMillis: PROCESSORS * 1000, workMs: () => WORK_MS });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  function submitJob(host: CellHost) {
    return submit(host, { steps: [{ count: PROCESSORS, 'estimate-ms': WORK_MS }] });
  }

  /** Submits jobs at all hosts in turn, until the given one returns true. */
  async function burst(isOver: (submissions: readonly Submission[]) => boolean) {
    const submissions: Submission[] = [];
    const startedAt = performance.now();
    for (let count = 0; performance.now() < startedAt + BURST_MS; count += 1) {
      const host = expectDefined(cell.hosts[count % cell.hosts.length]);
      void submitJob(host).then((answered) => submissions.push({ host, ...answered }));
      await new Promise((resolve) => setTimeout(resolve, 1000 / JOBS_PER_SECOND));
      if (isOver(submissions)) break;
    }
    return submissions;
  }

  /** Whether each host has refused a job. */
  function isRefusedByAll(submissions: readonly Submission[]): boolean {
    const refused = submissions.filter(({ answer }) => answer.kind === 'refused');
    return new Set(refused.map(({ host }) => host)).size === cell.hosts.length;
  }

  it('makes each host refuse jobs with a time to come back, and accept those again that it knows', async () => {
    const submissions = await burst(isRefusedByAll);
    expect(isRefusedByAll(submissions)).to.equal(true);
    for (const { id, answer } of submissions) {
      if (answer.kind !== 'refused') continue;
      expect(answer.retryAfterS).to.be.at.least(1);
      expect(cell.store.items.get(`jobs/${id}`)).to.equal(undefined);
    }
    expect(refusals[0]).to.include.all.keys(
      'expectedWaitMs',
      'usefulMs',
      'recordAgeMs',
      'recordRevision',
      'retryAfterS',
    );
    const known = expectDefined(submissions.find(({ answer }) => answer.kind === 'accepted'));
    for (const host of cell.hosts) {
      const caller = { ...CALLER, path: `${CALLER.path}${known.id}` };
      const work = { id: known.id, spec: '', steps: [] };
      const answer = await host.service.submit(caller, work, performance.now() + 2000);
      expect(answer).to.deep.equal({ kind: 'accepted' });
    }
  });

  it('makes a host that cannot reach the store answer as the leader does', async () => {
    const leader = await cell.leader();
    const cutOff = expectDefined(cell.hosts.find((host) => host !== leader));
    await eventually(async () => (await submitJob(cutOff)).answer.kind === 'accepted' || undefined);
    cell.rejectStoreCalls(cutOff);
    const submissions = await burst((all) =>
      all.some(({ host, answer }) => host === cutOff && 'retryAfterS' in answer),
    );
    const refused = submissions.filter(
      ({ host, answer }) => host === cutOff && 'retryAfterS' in answer,
    );
    expect(refused.length).to.be.greaterThan(0);
    expect(refused[0]?.answer).to.include({ reason: 'the job would end too late to be of use' });
  });

  it('is over soon: jobs are accepted and done again, and the record is empty', async () => {
    const submissions = await burst(isRefusedByAll);
    const [host] = cell.hosts;
    for (const { id, answer } of submissions) {
      if (answer.kind !== 'accepted') continue;
      await expectDefined(host).service.cancel(id, performance.now() + 2000);
    }
    const { id } = await eventually(async () => {
      const submitted = await submitJob(expectDefined(host));
      return submitted.answer.kind === 'accepted' ? submitted : undefined;
    });
    await awaitState(expectDefined(host), id, 'completed');
    await eventually(() => {
      const value = cell.store.items.get(EXPECTED_WAIT_KEY)?.value ?? '';
      const record = decodeWaits(Buffer.from(value, 'base64').toString());
      return record !== undefined && Object.keys(record.queues).length === 0 ? true : undefined;
    });
  });
});

describe('a team at its upper limit', function () {
  this.timeout(60_000);

  it('has jobs refused that would wait too long for its own work, in a cell with room', async () => {
    const causes = new Set<unknown>();
    const cell = await startTestCell({
      workers: 0,
      events: {
        ...SILENT_EVENTS,
        info: (event, fields) => {
          if (event === 'job-submitted' && fields?.outcome === 'refused') causes.add(fields.cause);
        },
      },
    });
    try {
      cell.configure({ version: 2, cpuLimitMillicores: PROCESSORS * 1000 });
      await cell.addWorker({ processorMillis: 10 * PROCESSORS * 1000, workMs: () => WORK_MS });
      const host = await cell.leader();
      await eventually(() => (host.ready ? true : undefined));
      const startedAt = performance.now();
      while (causes.size === 0 && performance.now() < startedAt + BURST_MS) {
        void submit(host, { steps: [{ count: PROCESSORS, 'estimate-ms': WORK_MS }] });
        await new Promise((resolve) => setTimeout(resolve, 1000 / JOBS_PER_SECOND));
      }
      expect([...causes]).to.deep.equal(['too-late-at-limit']);
    } finally {
      await cell.close();
    }
  });
});

describe('a calm cell', () => {
  it('never writes the record of expected waits', async () => {
    const cell = await startTestCell({ hosts: 2, workers: 2 });
    try {
      const leader = await cell.leader();
      await eventually(() => (leader.ready ? true : undefined));
      for (let count = 0; count < 10; count += 1) {
        const { id } = await submit(leader);
        await awaitState(leader, id, 'completed');
      }
      await new Promise((resolve) => setTimeout(resolve, 3500));
      expect(cell.store.items.get(EXPECTED_WAIT_KEY)).to.equal(undefined);
    } finally {
      await cell.close();
    }
  });
});
