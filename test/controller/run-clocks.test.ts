import { expect } from 'chai';
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import { createRun } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import { createWorkerSession } from '../../src/controller/worker-session.js';
import type { OrderOutcome, ReportOutcome } from '../../src/fleet/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { createSingleTask, createWorkerEntry, eventually } from './support.js';

describe('clocks of a run', () => {
  const UNKNOWN: OrderOutcome = { kind: 'unknown', detail: 'timeout' };
  const accepted = (clockMs: number): OrderOutcome => ({ kind: 'accepted', clockMs });

  /** Lets the worker answer the starts of one run in turn, and then report that it is done at 5000 on its clock. */
  async function play(answers: readonly OrderOutcome[]) {
    const starts = [...answers];
    const logged: EventFields[] = [];
    const learned: Run[] = [];
    const report = (ended: boolean): ReportOutcome => {
      const run = { task: 'job.0.0.0', run: 1, checkpoint: '' };
      const report = {
        born: 1,
        clockMs: ended ? 5000 : 900,
        running: [],
        ended: ended ? [{ ...run, sequence: 1, how: 'done' as const }] : [],
      };
      return { kind: 'report', report };
    };
    const session = createWorkerSession({
      worker: createWorkerEntry(1),
      connect: () => ({
        start: () => Promise.resolve(starts.shift() ?? UNKNOWN),
        stop: () => Promise.resolve(UNKNOWN),
        renew: () => Promise.resolve(report(starts.length === 0)),
        close: () => undefined,
      }),
      events: {
        ...SILENT_EVENTS,
        info: (event, fields = {}) => {
          if (event === 'run-ended') logged.push(fields);
        },
      },
      meters: createMeters(),
      epoch: TOKENS_PER_TERM,
      tokens: createFencingTokens({ epoch: TOKENS_PER_TERM }),
      mayExtendLease: () => true,
      openSuccessor: (former) => former,
      inheritedLeaseUntil: () => 0,
      learnEnd: (run) => {
        learned.push(run);
        return 1234.4;
      },
      onEnd: () => Promise.resolve(true),
      onReport: () => undefined,
      onTicketRefused: () => undefined,
      responsiveNow: () => performance.now(),
      onStaleEpoch: () => undefined,
      onChange: () => undefined,
    });
    const single = createSingleTask(1000);
    const run = createRun({ ...single, name: 'job.0.0.0', session, inherited: false });
    session.attach(run);
    await session.start(run, 'text', undefined);
    session.startRenewals();
    await eventually(() => logged[0], 'the end of the run');
    session.close();
    return { run, logged, learned };
  }

  it('are those of its worker, and the line of its end gives the work that it showed', async () => {
    const { run, logged, learned } = await play([accepted(1000)]);
    expect(learned).to.deep.equal([run]);
    expect(run.startedClockMs).to.equal(1000);
    expect(run.endedClockMs).to.equal(5000);
    expect(logged[0]?.workMs).to.equal(1234);
  });

  // The first order may have started the run long before its repetition was answered.
  it('do not tell the start of a run whose order was repeated', async () => {
    const { run } = await play([UNKNOWN, accepted(2000)]);
    expect(run.startedClockMs).to.equal(undefined);
    expect(run.endedClockMs).to.equal(5000);
  });
});
