/**
 * Jobs that end while the store is away. What a caller was told must hold whoever is lost afterwards, so a job is
 * shown as completed only once its record is durable, and no task of it starts after that.
 */
import { expect } from 'chai';
import type { CellHost } from '../../src/cell-host/index.js';
import type { StateAnswer } from '../../src/intake/index.js';
import { isFinalRecord } from '../../src/jobs/index.js';
import type { EventLog } from '../../src/observability/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { WorkerStandIn } from '../../stand-ins/platform/worker.js';
import {
  awaitState,
  eventually,
  expectDefined,
  setStoreFaults,
  startsOf,
  startTestCell,
  submit,
} from './support.js';
import type { StepBody, TestCell } from './support.js';

/** A host that showed ends from memory did so 300 ms after them. */
const HOLD_MS = 900;
/** Callers ask again about once a second, so none should ask twice after the return of the store. */
const SHOWN_WITHIN_MS = 1000;

/** The leader closes the session with an incarnation of a worker without runs that has not been listed for 5 s. */
const UNLISTED_SESSION_MS = 6500;

interface RunningJob {
  readonly id: string;
  readonly worker: WorkerStandIn;
  readonly leader: CellHost;
}

describe('a job that ends while the store is away', () => {
  let cell: TestCell;
  let logged: { readonly event: string; readonly task: unknown }[];

  beforeEach(async () => {
    logged = [];
    const record = (event: string, fields: Readonly<Record<string, unknown>> = {}) => {
      logged.push({ event, task: fields.task });
    };
    const events: EventLog = { ...SILENT_EVENTS, info: record };
    cell = await startTestCell({ hosts: 3, workers: 0, events });
    await cell.leader();
    await eventually(() => (cell.hosts.every(({ ready }) => ready) ? true : undefined));
  });

  afterEach(async () => {
    await cell.close();
  });

  const LOSSES: readonly {
    readonly what: string;
    readonly workMs?: number;
    readonly begin: (job: RunningJob) => Promise<void> | void;
    readonly lose: (job: RunningJob) => Promise<void>;
  }[] = [
    {
      what: 'its leader and its worker are lost',
      begin: () => setStoreFaults(cell, { outage: 'reset' }),
      lose: async ({ leader, worker }) => {
        cell.kill(leader);
        await restart(worker);
        await setStoreFaults(cell, { outage: 'none' });
      },
    },
    {
      what: 'all hosts and its worker are lost',
      begin: () => setStoreFaults(cell, { outage: 'reset' }),
      lose: async ({ worker }) => {
        for (const host of [...cell.hosts]) cell.kill(host);
        await cell.addHost();
        await restart(worker);
        await setStoreFaults(cell, { outage: 'none' });
      },
    },
    {
      what: 'the next leader places before the other hosts reach it',
      begin: () => setStoreFaults(cell, { outage: 'reset' }),
      lose: async ({ leader, worker }) => {
        cell.kill(leader);
        const others = [...cell.hosts];
        for (const host of others) cell.rejectStoreCalls(host);
        await cell.addHost();
        await restart(worker);
        await setStoreFaults(cell, { outage: 'none' });
        const next = expectDefined(cell.workers.at(-1));
        await eventually(() => (next.starts.length > 0 ? true : undefined));
        for (const host of others) cell.allowStoreCalls(host);
      },
    },
    {
      what: 'the data centre that showed it was cut off and is lost (review/1)',
      // The other hosts have elected a leader and left their links to the former one when the job ends.
      workMs: 2500,
      begin: ({ leader, worker }) => {
        cell.isolate(leader, worker);
      },
      lose: async ({ leader, worker }) => {
        cell.kill(leader);
        cell.reconnect(worker);
        await restart(worker);
      },
    },
  ];

  for (const { what, workMs, begin, lose } of LOSSES) {
    // Guards against a start of a task whose job was shown as completed from the memory of hosts that were then lost.
    it(`does not start again after it was shown as completed, although ${what}`, async () => {
      const job = await startJob(workMs);
      await begin(job);
      const shown = watchAnswers(cell, job.id);
      await eventually(() => (job.worker.finished.length === 1 ? true : undefined));
      await wait(HOLD_MS);
      await lose(job);
      await eventually(() => (shown.completedAt === undefined ? undefined : true));
      await wait(HOLD_MS);
      shown.stop();
      const { completedAt = 0 } = shown;
      const later = startsOf(cell, job.id).filter(({ at }) => at > completedAt);
      expect(later, 'starts after the job was shown as completed').to.deep.equal([]);
      for (const host of cell.hosts) await awaitState(host, job.id, 'completed');
    });
  }

  // Guards against callers of a cut-off data centre that do not learn of an end that only its hosts can read: the former
  // leader kept the end to itself, and nobody could make it durable (review/1).
  it('is shown as completed by a host that is cut off with its worker once the next leader has recorded it', async () => {
    const { id, worker, leader } = await startJob(2500);
    cell.isolate(leader, worker);
    await eventually(() => (worker.finished.length === 1 ? true : undefined));
    await awaitState(leader, id, 'completed');
    const record = expectDefined(cell.store.items.get(`progress/${id}`));
    expect(isFinalRecord(Buffer.from(record.value, 'base64').toString())).to.equal(true);
    expect(worker.acknowledgedThrough, 'ends that a former leader has acknowledged').to.equal(0);
    cell.kill(leader);
    cell.reconnect(worker);
    await restart(worker);
    await wait(UNLISTED_SESSION_MS);
    expect(startsOf(cell, id)).to.have.length(1);
  });

  for (const outage of ['reset', 'error', 'hang'] as const) {
    // Guards against a completion that is shown before it is durable, and against one that is shown late afterwards.
    it(`is shown as completed by all hosts soon after the store is back, and not before (${outage})`, async () => {
      const { id, worker } = await startJob();
      await setStoreFaults(cell, { outage });
      const shown = watchAnswers(cell, id);
      await eventually(() => (worker.finished.length === 1 ? true : undefined));
      await wait(HOLD_MS);
      expect(shown.answers, 'answers in the outage').to.not.include('completed');
      expect(worker.acknowledgedThrough, 'ends that were acknowledged in the outage').to.equal(0);
      const backAt = performance.now();
      await setStoreFaults(cell, { outage: 'none' });
      await Promise.all(cell.hosts.map((host) => awaitState(host, id, 'completed')));
      const tookMs = performance.now() - backAt;
      shown.stop();
      expect(tookMs).to.be.lessThan(SHOWN_WITHIN_MS);
      await eventually(() => (worker.acknowledgedThrough === 1 ? true : undefined));
      expect(startsOf(cell, id)).to.have.length(1);
    });
  }

  // Guards against a session that waits until the first end is durable and receives the others only after the outage.
  it('does not stop the collection of ends of its worker', async () => {
    const worker = await addLargeWorker((spec) => Number(spec));
    const host = expectDefined(cell.hosts[0]);
    const jobs = await Promise.all(
      ['700', '1100', '1500'].map((spec) => submit(host, { steps: [{ cpu: 16_000 }], spec })),
    );
    await eventually(() => (worker.running.size === 3 ? true : undefined));
    await setStoreFaults(cell, { outage: 'reset' });
    const callsBefore = worker.renewals;
    await eventually(() => {
      const ended = logged.filter(({ event }) => event === 'run-ended');
      return jobs.every(({ id }) => ended.some(({ task }) => String(task).startsWith(id)))
        ? true
        : undefined;
    }, 'the leader to receive all ends in the outage');
    expect(worker.renewals - callsBefore).to.be.lessThan(40);
    expect(worker.acknowledgedThrough).to.equal(0);
    await setStoreFaults(cell, { outage: 'none' });
    await eventually(() => (worker.acknowledgedThrough === 3 ? true : undefined));
  });

  // Guards against an end that is acknowledged as foreign by a second session with the same incarnation of its worker.
  it('is not acknowledged before its record is durable, although its worker was not listed for a while', async () => {
    const { id, worker } = await startJob();
    cell.store.dropTransactionResponses(10_000, 60_000);
    cell.store.items.apply([], [`servers/${worker.id}`]);
    await eventually(() => (worker.finished.length === 1 ? true : undefined));
    await wait(UNLISTED_SESSION_MS);
    worker.leave();
    await wait(2 * HOLD_MS);
    expect(worker.acknowledgedThrough).to.equal(0);
    cell.store.dropTransactionResponses(0);
    await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
    await eventually(() => (worker.acknowledgedThrough === 1 ? true : undefined));
    expect(startsOf(cell, id)).to.have.length(1);
  });

  describe('with ends on two workers', () => {
    /** Returns the two workers of a job with two tasks, which end in an outage, the first one 200 ms earlier. */
    async function endOnTwoWorkers(step: StepBody, outcome: 'done' | 'failed') {
      cell.configure({ version: 2, maxAttempts: 1 });
      const first = await addLargeWorker(() => 900, outcome);
      const second = await addLargeWorker(() => 1100);
      const leader = await cell.leader();
      await wait(400);
      const steps = [{ count: 2, cpu: 32_000, 'max-per-server': 1, ...step }];
      const { id } = await submit(leader, { steps });
      await eventually(() => (first.running.size + second.running.size === 2 ? true : undefined));
      await setStoreFaults(cell, { outage: 'reset' });
      await eventually(() =>
        first.finished.length + second.finished.length === 2 ? true : undefined,
      );
      await wait(HOLD_MS);
      return { id, leader, first, second };
    }

    const CASES = [
      { what: 'a gang', step: { gang: true }, outcome: 'done' },
      { what: 'a job that has failed', step: {}, outcome: 'failed' },
    ] as const;

    for (const { what, step, outcome } of CASES) {
      // Guards against the loss of an end that was acknowledged because its job had ended already, in memory alone.
      it(`acknowledges none of ${what} before its record is durable`, async () => {
        const { first, second } = await endOnTwoWorkers(step, outcome);
        expect([first.acknowledgedThrough, second.acknowledgedThrough]).to.deep.equal([0, 0]);
        await setStoreFaults(cell, { outage: 'none' });
        for (const worker of [first, second]) {
          await eventually(() => (worker.acknowledgedThrough === 1 ? true : undefined));
        }
      });
    }

    // Guards against a second run of a gang of which one end was acknowledged and the worker with the other is lost.
    it('does not start a gang again if the leader and one of its workers are lost', async () => {
      const { id, leader, first } = await endOnTwoWorkers({ gang: true }, 'done');
      cell.kill(leader);
      await restart(first);
      await setStoreFaults(cell, { outage: 'none' });
      await awaitState(expectDefined(cell.hosts[0]), id, 'completed');
      expect(startsOf(cell, id)).to.have.length(2);
    });
  });

  /** Returns a job whose only task is at work. */
  async function startJob(workMs = 800): Promise<RunningJob> {
    const worker = await addLargeWorker(() => workMs);
    const leader = await cell.leader();
    const { id } = await submit(leader, { steps: [{ cpu: 32_000 }] });
    await eventually(() => (worker.running.size > 0 ? true : undefined));
    return { id, worker, leader };
  }

  function addLargeWorker(workMs: (spec: string) => number, outcome: 'done' | 'failed' = 'done') {
    return cell.addWorker({ workMs, outcome: () => outcome, processorMillis: 64_000 });
  }

  /** Replaces the worker by its next incarnation, which knows nothing of its runs and ends. */
  async function restart(worker: WorkerStandIn) {
    await worker.crash();
    await cell.addWorker({ id: worker.id, born: Date.now() + 1, processorMillis: 64_000 });
  }
});

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Asks all hosts for the state of a job again and again, and records when one first shows it as completed. */
function watchAnswers(cell: TestCell, id: string) {
  const answers = new Set<StateAnswer>();
  const watch = {
    answers,
    completedAt: undefined as number | undefined,
    stop: () => {
      clearInterval(timer);
    },
  };
  const timer = setInterval(() => {
    for (const host of cell.hosts) {
      void host.service.state(id).then((answer) => {
        answers.add(answer);
        if (answer === 'completed') watch.completedAt ??= Date.now();
      });
    }
  }, 25);
  return watch;
}
