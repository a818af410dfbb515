/**
 * Guards against a job that was accepted before and is refused when it is sent again, and against refusals that are
 * neither counted nor explained.
 */
import { expect } from 'chai';
import { err, ok } from 'neverthrow';
import type { WaitRefusal } from '../../src/admission/index.js';
import { createCallerService } from '../../src/intake/index.js';
import type { CallerServiceOptions, JobReader } from '../../src/intake/index.js';
import { createMeters, SILENT_EVENTS } from '../../src/observability/index.js';
import type { EventFields } from '../../src/observability/index.js';
import { STEP } from '../jobs/support.js';

const QUEUE = {
  name: 'checks',
  host: 'seams.example',
  prefix: '/checks/',
  service: 'seams',
  priority: 0,
  maxAttempts: 3,
  stretch: 1.5,
  targetLatencyMs: 250,
  open: false,
};
const TEAM = { name: 'lawns', keys: ['key'], weight: 1 };
const CALLER = { host: QUEUE.host, path: '/checks/1', key: 'key' };
const WORK = { id: '1', spec: '', steps: [STEP] };
const TOO_LATE: WaitRefusal = {
  reason: 'too-late',
  expectedWaitMs: 5000,
  usefulMs: 3000,
  recordAgeMs: 120,
  recordRevision: 77,
  retryAfterS: 4,
};

interface CaseOptions {
  readonly state?: Awaited<ReturnType<JobReader['state']>>;
  readonly refusal?: WaitRefusal | undefined;
  readonly hasRoom?: boolean;
}

function createCase({ state = ok(undefined), refusal, hasRoom = true }: CaseOptions) {
  const meters = createMeters();
  const lines: EventFields[] = [];
  const judged: unknown[] = [];
  const counts = { submitted: 0, accepted: 0 };
  const service = createCallerService({
    host: 'h1',
    configuration: {
      current: { configuration: { version: 1, queues: [QUEUE], teams: [TEAM] }, revision: 1 },
    },
    confirmedAt: () => performance.now(),
    isStoreLost: () => false,
    canRefresh: () => true,
    submissions: {
      submit: () => {
        counts.submitted += 1;
        return Promise.resolve({ kind: 'accepted' });
      },
    },
    admission: { hasRoom: () => hasRoom, recordAccepted: () => undefined },
    waits: {
      judge: (job: unknown) => {
        judged.push(job);
        return refusal;
      },
      recordAccepted: () => {
        counts.accepted += 1;
      },
    },
    reader: { state: () => Promise.resolve(state) },
    events: { ...SILENT_EVENTS, info: (_event: string, fields: EventFields) => lines.push(fields) },
    meters,
  } as unknown as CallerServiceOptions);
  return {
    submit: () => service.submit(CALLER, WORK, performance.now() + 1000),
    meters,
    lines,
    judged,
    counts,
  };
}

describe('refusal of a job that would end too late', () => {
  it('is answered with the time to come back, counted and explained', async () => {
    const { submit, meters, lines, counts } = createCase({ refusal: TOO_LATE });
    const answer = await submit();
    expect(answer).to.deep.equal({
      kind: 'refused',
      reason: 'the job would end too late to be of use',
      retryAfterS: 4,
    });
    expect(counts.submitted).to.equal(0);
    expect(lines[0]).to.include({
      outcome: 'refused',
      queue: 'checks',
      team: 'lawns',
      cause: 'too-late',
      expectedWaitMs: 5000,
      recordAgeMs: 120,
      recordRevision: 77,
    });
    expect(await meters.render()).to.include(
      'sapphirewing_admission_refusals_total{queue="checks",reason="too-late"} 1',
    );
  });

  it('does not concern a job that was accepted before', async () => {
    const { submit, meters } = createCase({ refusal: TOO_LATE, state: ok('queued') });
    expect(await submit()).to.deep.equal({ kind: 'accepted' });
    expect(await meters.render()).not.to.include('reason="too-late"');
  });

  it('is not claimed if the job may have been accepted before', async () => {
    const state = err({ kind: 'unknown' as const, detail: 'no answer' });
    const { submit } = createCase({ refusal: TOO_LATE, state });
    expect(await submit()).to.deep.equal({ kind: 'unknown' });
  });

  it('is decided by the terms of the queue and the team of the key', async () => {
    const { submit, judged, counts } = createCase({});
    expect(await submit()).to.deep.equal({ kind: 'accepted' });
    expect(judged).to.deep.equal([
      {
        queue: 'checks',
        team: 'lawns',
        steps: [STEP],
        stretch: 1.5,
        targetLatencyMs: 250,
        scheduled: false,
      },
    ]);
    expect(counts).to.deep.equal({ submitted: 1, accepted: 1 });
  });

  it('comes after the refusal for lack of room', async () => {
    const { submit, meters } = createCase({ refusal: TOO_LATE, hasRoom: false });
    expect(await submit()).to.include({ kind: 'refused', retryAfterS: 3 });
    expect(await meters.render()).to.include('reason="open-work"} 1');
  });
});
