/**
 * Guards against ends of a later incarnation of a worker that are lost because of what the leader knew of the former
 * one.
 */
import { expect } from 'chai';
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import { createFleetSessions } from '../../src/controller/fleet-sessions.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import { createRun, LATE_ORDER_MS } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import type { RunEnd } from '../../src/jobs/index.js';
import { createWorkerSession } from '../../src/controller/worker-session.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import type { FleetWorker, WorkerConnection } from '../../src/fleet/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { createSingleTask, createWorkerEntry, eventually } from './support.js';
import { createWorkerFake } from './worker-fake.js';
import type { WorkerFake } from './worker-fake.js';

const EPOCH = 3 * TOKENS_PER_TERM;
/** Of the leader before. */
const FORMER_EPOCH = 2 * TOKENS_PER_TERM;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

describe('the end of a run at a later incarnation of its worker', () => {
  const tokens = createFencingTokens({ epoch: EPOCH });
  let worker: WorkerFake;
  let sessions: FleetSessions;
  let ends: { readonly run: Run; readonly end: RunEnd }[];

  beforeEach(() => {
    worker = createWorkerFake();
    ends = [];
    sessions = createFleetSessions({
      open: openSession,
      events: SILENT_EVENTS,
      onChange: () => undefined,
      onLeaving: () => undefined,
    });
  });

  afterEach(() => {
    sessions.close();
  });

  function openSession(entry: FleetWorker): WorkerSession {
    const startedAt = performance.now();
    const session = createWorkerSession({
      worker: entry,
      connect: () => worker.connection,
      events: SILENT_EVENTS,
      meters: createMeters(),
      epoch: EPOCH,
      tokens,
      mayExtendLease: () => true,
      inheritedLeaseUntil: () => startedAt + 1000,
      openSuccessor: (former, born) => sessions.openSuccessor(former, born),
      onEnd: (_session, run, end) => {
        ends.push({ run, end });
        return Promise.resolve(true);
      },
      onReport: () => undefined,
      onTicketRefused: () => undefined,
      responsiveNow: () => performance.now(),
      onStaleEpoch: () => undefined,
      onChange: () => undefined,
    });
    session.startRenewals();
    return session;
  }

  function createRunOf(session: WorkerSession, index: number, inherited = false): Run {
    const name = `job.0.0.${String(index)}`;
    const run = createRun({ ...createSingleTask(1000), name, session, inherited });
    session.attach(run);
    return run;
  }

  const endOf = (run: Run) =>
    eventually(() => ends.find((entry) => entry.run === run), `the end of ${run.name}`);

  // The first renewal that reached the new incarnation carried the acknowledgement of the former one. The new
  // incarnation counts its ends from 1 again and forgot the end, which nobody had read, and the task was started again.
  it('is not acknowledged by the number of an end of the former incarnation', async () => {
    sessions.update('w1', createWorkerEntry(worker.born));
    const session = await eventually(() => sessions.usable()[0], 'a worker that can be used');
    const first = createRunOf(session, 0);
    await session.start(first, 'text', undefined);
    worker.end(first.name, 'done');
    await endOf(first);
    await pause(100);
    const second = createRunOf(session, 1);
    worker.handleStart = () => {
      worker.restart();
      return 'answered';
    };
    const started = session.start(second, 'text', undefined);
    await eventually(() => worker.running.has(second.name) || undefined, 'the start');
    worker.cut = true;
    await started;
    await pause(200);
    worker.end(second.name, 'done');
    worker.cut = false;
    expect((await endOf(second)).end).to.equal('done');
  });

  // Clocks can jump back, so a later incarnation can have the earlier time. A run that it took over is recorded with
  // the former incarnation, so the next leader acknowledged its end as that of a run it did not know, and started it
  // again.
  it('is applied by a next leader whose record names the former incarnation', async () => {
    await worker.connection.start({
      task: 'job.0.0.0',
      run: 1,
      spec: 'text',
      startBeforeMs: 10_000,
      fencingToken: FORMER_EPOCH,
      checkpoint: '',
      ticket: undefined,
    });
    worker.end('job.0.0.0', 'done');
    const former = sessions.sessionOf({ id: 'w1', born: worker.born + 5 });
    const run = createRunOf(former, 0, true);
    sessions.update('w1', createWorkerEntry(worker.born));
    sessions.endFormerIncarnations();
    expect((await endOf(run)).end).to.equal('done');
  });

  // The time in which a late start may still arrive was not counted, only the lease that it extends. A start that the
  // network delivered last to an unreachable later incarnation began a lease that outlasted the end of the run.
  it('is not assumed while a start that arrives late may hold a lease', async () => {
    sessions.update('w1', createWorkerEntry(worker.born));
    const session = await eventually(() => sessions.usable()[0], 'a worker that can be used');
    worker.handleStart = () => 'held';
    const run = createRunOf(session, 0);
    await session.start(run, 'text', undefined);
    worker.cut = true;
    worker.restart();
    sessions.update('w1', createWorkerEntry(worker.born));
    await pause(LATE_ORDER_MS - 500);
    worker.deliverHeld();
    await pause(3000);
    expect(worker.running.has(run.name)).to.equal(true);
    expect(ends.map(({ end }) => end)).to.deep.equal([]);
  }).timeout(30_000);

  // A worker returns 500 ends at a time. A run whose end came after them was neither listed as running nor as ended,
  // and was taken for one that never ran.
  it('is not taken for a run that never ran when more ends are listed before it', async () => {
    const ends500 = 500;
    for (let index = 0; index <= ends500; index += 1) {
      await startAtWorker(index);
      worker.end(`job.0.0.${String(index)}`, 'done');
    }
    sessions.update('w1', createWorkerEntry(worker.born));
    const session = sessions.sessionOf({ id: 'w1', born: worker.born });
    const runs = Array.from({ length: ends500 + 1 }, (_, index) =>
      createRunOf(session, index, true),
    );
    const last = runs.at(-1);
    if (last === undefined) throw new Error('no run');
    expect((await endOf(last)).end).to.equal('done');
  });

  async function startAtWorker(index: number) {
    await worker.connection.start({
      task: `job.0.0.${String(index)}`,
      run: 1,
      spec: 'text',
      startBeforeMs: 10_000,
      fencingToken: FORMER_EPOCH,
      checkpoint: '',
      ticket: undefined,
    });
  }
});

describe('a session in which the application of one end fails', () => {
  // The rejected promise of one end failed each later application of a report, so that the loop of the renewals ended
  // and was run again each time, with pauses that grew to 2 s, and no end was acknowledged for the rest of the term.
  it('goes on renewing the lease without failures', async () => {
    const worker = createWorkerFake();
    let renewals = 0;
    const connection: WorkerConnection = {
      ...worker.connection,
      renew: (renewal) => {
        renewals += 1;
        return worker.connection.renew(renewal);
      },
    };
    let applied = 0;
    const meters = createMeters();
    const session = createWorkerSession({
      worker: createWorkerEntry(worker.born),
      connect: () => connection,
      events: SILENT_EVENTS,
      meters,
      epoch: EPOCH,
      tokens: createFencingTokens({ epoch: EPOCH }),
      mayExtendLease: () => true,
      inheritedLeaseUntil: () => 0,
      openSuccessor: (former) => former,
      onEnd: () => {
        applied += 1;
        return applied === 1 ? Promise.reject(new Error('unreadable')) : Promise.resolve(true);
      },
      onReport: () => undefined,
      onTicketRefused: () => undefined,
      responsiveNow: () => performance.now(),
      onStaleEpoch: () => undefined,
      onChange: () => undefined,
    });
    session.startRenewals();
    await eventually(() => session.reachable || undefined, 'the first answer');
    const name = 'job.0.0.0';
    const run = createRun({ ...createSingleTask(1000), name, session, inherited: false });
    session.attach(run);
    await session.start(run, 'text', undefined);
    worker.end(name, 'done');
    await eventually(() => applied > 0 || undefined, 'the end');
    await pause(3000);
    const before = renewals;
    await pause(2000);
    session.close();
    expect(renewals - before, 'renewals in 2 s').to.be.at.least(2);
    const failures = await meters.loopFailures.get();
    expect(failures.values.reduce((sum, { value }) => sum + value, 0)).to.be.at.most(1);
  });
});
