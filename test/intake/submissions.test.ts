/**
 * Guards against callers that wait until their deadline at a host that has lost the store: in one outage, five
 * submissions did so although other hosts could have accepted them (incident inc-0481).
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import { createSubmissionBatcher } from '../../src/intake/index.js';
import { JOB_STORE_KEYS } from '../../src/jobs/index.js';
import type { Job } from '../../src/jobs/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { KeyValueStore } from '../../src/records/index.js';

const JOB: Job = {
  id: 'a1',
  team: 'lawns',
  queue: 'lookups',
  service: 'rota',
  spec: '',
  steps: [],
  acceptedAtMs: 0,
  acceptedBy: 'host-1',
};
const CONFIGURATION = { key: 'configuration', revision: 1 };
const LONG_MS = 60_000;

describe('a submission with an unknown outcome', () => {
  function submit(isStoreLost: () => boolean) {
    const store = {
      transact: () => Promise.resolve(err({ kind: 'unknown', detail: 'no answer' })),
    } as unknown as KeyValueStore;
    const submissions = createSubmissionBatcher({ store, events: SILENT_EVENTS, isStoreLost });
    return (deadlineMs: number) =>
      submissions.submit(JOB, CONFIGURATION, performance.now() + deadlineMs);
  }

  it('is answered as unknown once its host has lost the store', async () => {
    let calls = 0;
    const outcome = await submit(() => (calls += 1) > 2)(LONG_MS);
    expect(outcome).to.deep.equal({ kind: 'unknown' });
  });

  it('is retried as long as the store is not lost and the deadline has not passed', async () => {
    const startedAt = performance.now();
    const outcome = await submit(() => false)(300);
    expect(outcome).to.deep.equal({ kind: 'unknown' });
    expect(performance.now() - startedAt).to.be.at.least(299);
  });
});

describe('a submission whose configuration has been replaced', () => {
  const replacement = { key: CONFIGURATION.key, value: '{}', revision: 2 };
  const existing = { key: JOB_STORE_KEYS.job(JOB.id), value: '{}', revision: 1 };

  function submit(outcomes: readonly ('conflict' | 'unanswered')[]) {
    const pending = [...outcomes];
    const store = {
      transact: () =>
        Promise.resolve(
          pending.shift() === 'conflict'
            ? ok({ kind: 'conflict', entries: [replacement, existing] })
            : err({ kind: 'unknown', detail: 'no answer' }),
        ),
    } as unknown as KeyValueStore;
    return createSubmissionBatcher({ store, events: SILENT_EVENTS }).submit(
      JOB,
      CONFIGURATION,
      performance.now() + LONG_MS,
    );
  }

  // Guards against 200 for a job that is sent again with a key or a route that has been removed.
  it('is authorized again, although its job exists', async () => {
    expect(await submit(['conflict'])).to.deep.equal({
      kind: 'replaced',
      configuration: replacement,
    });
  });

  it('is accepted if an earlier attempt, without an answer, may have created its job', async () => {
    expect(await submit(['unanswered', 'conflict'])).to.deep.equal({ kind: 'accepted' });
  });
});
