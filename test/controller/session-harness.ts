/** Sessions of a leader with one worker in memory, and what becomes of the runs that are ordered there. */
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import type { FencingTokens } from '../../src/controller/fencing-tokens.js';
import { createFleetSessions } from '../../src/controller/fleet-sessions.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import { createRun } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import type { RunEnd } from '../../src/jobs/index.js';
import { createWorkerSession } from '../../src/controller/worker-session.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import type { FleetWorker } from '../../src/fleet/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { createSingleTask, createWorkerEntry, eventually } from './support.js';
import { createWorkerFake } from './worker-fake.js';
import type { WorkerFake, WorkerFakeOptions } from './worker-fake.js';

const EPOCH = 3 * TOKENS_PER_TERM;

export interface ObservedEnd {
  readonly run: Run;
  readonly end: RunEnd;
  /** Whether the worker has a run of the task at that moment. */
  readonly atWork: boolean;
}

export interface SessionHarness {
  readonly worker: WorkerFake;
  readonly sessions: FleetSessions;
  readonly ends: readonly ObservedEnd[];
  /** Warnings of the sessions, in order. */
  readonly warnings: readonly { readonly event: string; readonly fields: EventFields }[];
  /** Whether the store takes the records of ends. */
  storesEnds: boolean;
  /** Applies the entry of the worker's present incarnation. */
  list(): void;
  usableSession(): Promise<WorkerSession>;
  /** Creates a run that is not ordered yet, or one that a previous leader ordered from the first incarnation. */
  createRun(options?: { readonly index?: number; readonly inherited?: boolean }): Promise<Run>;
  startRun(index?: number): Promise<Run>;
  endOf(run: Run): Promise<ObservedEnd>;
  readonly tokens: FencingTokens;
  /** Number of times that a worker has shown that another host leads. */
  readonly staleEpochs: number;
  /** Waits until the incarnation has answered a call of its own session. */
  reachedIncarnation(born: number): Promise<true>;
  /** Waits until a report of the incarnation lists the run, and fails if the run is ended while it is at work. */
  listedBy(run: Run, born: number): Promise<true>;
  close(): void;
}

export interface SessionHarnessOptions extends WorkerFakeOptions {
  /** Lease that a renewal grants. */
  readonly leaseMs?: number;
  /** Time for which a call without an answer may still be carried out. */
  readonly lateOrderMs?: number;
  /** Time within which a start has to reach the worker, which extends the lease as well. */
  readonly startWindowMs?: number;
  /** Whether the worker's entry is known from the beginning. */
  readonly listed?: boolean;
}

export function createSessionHarness(options: SessionHarnessOptions = {}): SessionHarness {
  const { leaseMs, maxLeaseMs, lateOrderMs, startWindowMs = Infinity, listed = true } = options;
  const worker = createWorkerFake(options);
  const ends: ObservedEnd[] = [];
  const warnings: { event: string; fields: EventFields }[] = [];
  const events = {
    ...SILENT_EVENTS,
    warn: (event: string, fields: EventFields = {}) => {
      warnings.push({ event, fields });
    },
  };
  const tokens = createFencingTokens({ epoch: EPOCH });
  let staleEpochs = 0;
  const sessions = createFleetSessions({
    open: openSession,
    events,
    onChange: () => undefined,
    onLeaving: () => undefined,
  });

  function openSession(entry: FleetWorker): WorkerSession {
    const startedAt = performance.now();
    const session = createWorkerSession({
      worker: entry,
      connect: () => worker.connection,
      events,
      meters: createMeters(),
      epoch: EPOCH,
      tokens,
      mayExtendLease: () => true,
      startWindowMs: () => startWindowMs,
      ...(leaseMs === undefined ? {} : { leaseMs }),
      ...(maxLeaseMs === undefined ? {} : { maxLeaseMs }),
      ...(lateOrderMs === undefined ? {} : { lateOrderMs }),
      inheritedLeaseUntil: () => startedAt,
      openSuccessor: (former, born) => sessions.openSuccessor(former, born),
      onEnd: (_session, run, end) => {
        ends.push({ run, end, atWork: worker.running.has(run.name) });
        return harness.storesEnds ? Promise.resolve(true) : new Promise(() => undefined);
      },
      onReport: () => undefined,
      onTicketRefused: () => undefined,
      responsiveNow: () => performance.now(),
      onStaleEpoch: () => {
        staleEpochs += 1;
      },
      onChange: () => undefined,
    });
    session.startRenewals();
    return session;
  }

  const harness: SessionHarness = {
    worker,
    sessions,
    ends,
    warnings,
    storesEnds: true,
    tokens,
    get staleEpochs() {
      return staleEpochs;
    },
    list: () => {
      sessions.update('w1', createWorkerEntry(worker.born));
    },
    usableSession: () => eventually(() => sessions.usable()[0], 'a worker that can be used'),
    createRun: async ({ index = 0, inherited = false } = {}) => {
      const session = inherited
        ? sessions.sessionOf({ id: 'w1', born: 1 })
        : await harness.usableSession();
      const name = `job.0.0.${String(index)}`;
      const run = createRun({ ...createSingleTask(1000), name, session, inherited });
      session.attach(run);
      return run;
    },
    startRun: async (index = 0) => {
      const run = await harness.createRun({ index });
      void run.session.start(run, 'text', undefined);
      return run;
    },
    endOf: (run) =>
      eventually(() => ends.find((entry) => entry.run === run), `the end of ${run.name}`),
    reachedIncarnation: (born) =>
      eventually(
        () => sessions.find({ id: 'w1', born })?.confirmed === true || undefined,
        `an answer of incarnation ${String(born)}`,
      ),
    listedBy: (run, born) =>
      eventually(
        () => {
          const ended = ends.find((entry) => entry.run === run);
          if (ended?.atWork === true) throw new Error(`ended as ${ended.end}, but still at work`);
          return (run.session.incarnation.born === born && run.listed) || undefined;
        },
        `${run.name} to be listed by incarnation ${String(born)}`,
      ),
    close: () => {
      sessions.close();
    },
  };
  if (listed) harness.list();
  return harness;
}
