/** Guards against loops of the leader that end at their first error and leave it leading without them. */
import { expect } from 'chai';
import { createDispatcher } from '../../src/controller/dispatcher.js';
import type { DispatcherOptions } from '../../src/controller/dispatcher.js';
import { createFencingTokens } from '../../src/controller/fencing-tokens.js';
import { createWorkerSession } from '../../src/controller/worker-session.js';
import type { WorkerConnection } from '../../src/fleet/index.js';
import { TOKENS_PER_TERM } from '../../src/leadership/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import { eventually } from '../platform-path/support.js';
import { createWorkerEntry } from './support.js';
import { createWorkerFake } from './worker-fake.js';

function openSession(connection: WorkerConnection) {
  return createWorkerSession({
    worker: createWorkerEntry(1),
    connect: () => connection,
    events: SILENT_EVENTS,
    meters: createMeters(),
    epoch: TOKENS_PER_TERM,
    tokens: createFencingTokens({ epoch: TOKENS_PER_TERM }),
    mayExtendLease: () => true,
    openSuccessor: (session) => session,
    inheritedLeaseUntil: () => 0,
    onEnd: () => Promise.resolve(true),
    onReport: () => undefined,
    onTicketRefused: () => undefined,
    responsiveNow: () => performance.now(),
    onStaleEpoch: () => undefined,
    onChange: () => undefined,
  });
}

describe('a loop of the leader that fails', () => {
  // A late start that is not refused runs beside the run that has replaced it (TWICE).
  it('refuses a late start again', async () => {
    const worker = createWorkerFake();
    let renewals = 0;
    const session = openSession({
      ...worker.connection,
      renew: (renewal) => {
        renewals += 1;
        if (renewals === 1) return Promise.reject(new Error('unreadable'));
        return worker.connection.renew(renewal);
      },
    });
    // That of an incarnation before, whose run has ended and whose start arrives late.
    const formerToken = 1;
    session.outrank(formerToken, performance.now());
    session.startRenewals();
    await eventually(() => (session.reachable ? true : undefined));
    session.close();
    const outcome = await worker.connection.start({
      task: 'job.0.0.0',
      run: 1,
      spec: 'text',
      startBeforeMs: 10_000,
      fencingToken: formerToken,
      checkpoint: '',
      ticket: undefined,
    });
    expect(outcome).to.include({ kind: 'refused', reason: 'fenced' });
    expect(worker.running.size).to.equal(0);
  });

  // Without renewals a worker ends its runs, while the leader goes on giving it new ones.
  it('renews the lease of a worker again', async () => {
    let renewals = 0;
    const session = openSession({
      start: () => Promise.resolve({ kind: 'accepted', clockMs: 1 }),
      stop: () => Promise.resolve({ kind: 'accepted', clockMs: 1 }),
      renew: () => {
        renewals += 1;
        if (renewals === 1) return Promise.reject(new Error('unreadable'));
        return Promise.resolve({
          kind: 'report',
          report: { born: 1, clockMs: 1, running: [], ended: [] },
        });
      },
      close: () => undefined,
    });
    session.startRenewals();
    await eventually(() => (session.reachable ? true : undefined));
    session.close();
    expect(renewals).to.be.at.least(2);
  });

  // Without rounds nothing is started until some change requests one.
  it('plans again', async () => {
    let rounds = 0;
    const dispatcher = createDispatcher({
      events: SILENT_EVENTS,
      meters: createMeters(),
      configuration: () => {
        rounds += 1;
        if (rounds === 1) throw new Error('unreadable');
        return undefined;
      },
    } as unknown as DispatcherOptions);
    await eventually(() => (rounds > 1 ? true : undefined));
    dispatcher.stop();
  });
});
