import { expect } from 'chai';
import type { Claims } from '../../src/claims/index.js';
import { createTaskLookup } from '../../src/entry/task-lookup.js';
import type { TaskRunner } from '../../src/entry/task-runner.js';
import type { Membership } from '../../src/hosts/index.js';
import type { JobRecord } from '../../src/journal/index.js';
import { NO_RESOURCES, type Host, type WorkRequest } from '../../src/model/index.js';
import type { TaskNeverSeen, TaskOutcome } from '../../src/workers/index.js';

const HOST: Host = { id: 'h1', dataCentre: 'dc1', url: '', linkUrl: '', state: 'live' };

const REQUEST: WorkRequest = {
  id: 'r1',
  callerId: false,
  team: 'lawns',
  entry: 'allocation',
  class: 'batch',
  idempotent: true,
  size: NO_RESOURCES,
  tasks: 1,
  input: new Uint8Array(),
  contentType: 'application/json',
  submittedAt: 0,
  startBefore: 1000,
  maxRunMs: 1000,
  maxAttempts: 3,
  hops: [],
};

const START = { index: 0, worker: 'w1', bootId: 'b1', attempt: 0 };
const DONE = {
  kind: 'done',
  status: 200,
  contentType: '',
  body: Buffer.from('ok'),
  worker: 'w1',
} as const;
const FAILED = { ...DONE, kind: 'failed', status: 500 } as const;

function lookUp(answer: TaskOutcome | TaskNeverSeen, record: JobRecord) {
  const lookup = createTaskLookup({
    host: HOST,
    claims: { ownerOf: () => ({ host: 'h1' }) } as unknown as Claims,
    membership: { workers: () => [{ id: 'w1' }] } as unknown as Membership,
    links: {} as never,
    runner: { join: () => Promise.resolve(answer) } as unknown as TaskRunner,
    leaseMs: 100,
    now: Date.now,
    signal: new AbortController().signal,
  });
  return lookup.lookUpJob(record);
}

describe('lookup of an adopted job', () => {
  it('runs a job that was never started', async () => {
    const found = await lookUp(DONE, { request: REQUEST, state: 'queued', tasks: [] });
    expect(found).to.deep.equal({ kind: 'run', request: REQUEST, mayHaveRun: false });
  });

  const cases = [
    ['returns the answer of a run that has ended', DONE, true, 'done'],
    ['returns the failure of a run that has ended', FAILED, true, 'done'],
    [
      'starts a task that the fenced worker has never seen',
      { kind: 'never-seen', bootId: 'b1' },
      false,
      'run',
    ],
    [
      'starts an idempotent task again after its worker restarted',
      { kind: 'never-seen', bootId: 'b2' },
      true,
      'run',
    ],
    [
      'never repeats a task that is not idempotent after its worker restarted',
      { kind: 'never-seen', bootId: 'b2' },
      false,
      'unknown',
    ],
  ] as const;
  for (const [name, answer, idempotent, expected] of cases) {
    it(name, async () => {
      const request = { ...REQUEST, idempotent };
      const found = await lookUp(answer, { request, state: 'running', tasks: [START] });
      expect(found.kind === 'run' ? 'run' : found.outcome.kind).to.equal(expected);
    });
  }

  it('gives the repeated run a new task id, because a worker runs each id only once', async () => {
    const found = await lookUp(
      { kind: 'never-seen', bootId: 'b2' },
      { request: REQUEST, state: 'running', tasks: [START] },
    );
    expect(found.kind === 'run' && found.request.attempt).to.equal(1);
  });
});
