/**
 * Finds out what became of the tasks of an adopted job, so that none is started a second time while
 * the first run may still be going on.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { match } from 'ts-pattern';
import type { Claims } from '../claims/index.js';
import type { Membership } from '../hosts/index.js';
import type { JobRecord } from '../journal/index.js';
import type { Links } from '../links/index.js';
import {
  taskIdOf,
  unknownOutcome,
  type Host,
  type Outcome,
  type WorkRequest,
} from '../model/index.js';
import type { DoneOutcome } from '../model/index.js';
import type { FailedOutcome } from '../workers/index.js';
import { toDoneOutcome } from './dispatcher.js';
import { combineOutcomes } from './combine-outcomes.js';
import { workerSubject } from './held-workers.js';
import type { JoinReply, PeerMessages } from './messages.js';
import type { TaskRunner } from './task-runner.js';

const LOOKUP_RETRY_MS = 500;
const JOIN_TIMEOUT_MS = 60 * 60 * 1000;

/** What to do with an adopted job. */
export type JobLookupResult =
  | { readonly kind: 'run'; readonly request: WorkRequest; readonly mayHaveRun: boolean }
  | { readonly kind: 'outcome'; readonly outcome: Outcome };

export interface TaskLookup {
  lookUpJob(record: JobRecord): Promise<JobLookupResult>;
  /** Waits until it is certain what became of one started task. */
  lookUpTask(request: WorkRequest, start: RecordedStart): Promise<TaskLookupResult>;
}

export type RecordedStart = JobRecord['tasks'][number];

/** `not-started`: certainly never ran; `lost`: certainly ended, and nobody knows how. */
export type TaskLookupResult =
  DoneOutcome | FailedOutcome | { readonly kind: 'not-started' } | { readonly kind: 'lost' };

interface LookupOptions {
  readonly host: Host;
  readonly claims: Claims;
  readonly membership: Membership;
  readonly links: Links<PeerMessages>;
  readonly runner: TaskRunner;
  readonly leaseMs: number;
  readonly now: () => number;
  readonly signal: AbortSignal;
}

export function createTaskLookup(options: LookupOptions): TaskLookup {
  const { host, claims, membership, links, runner, signal, now } = options;

  async function findOutcome(record: JobRecord): Promise<JobLookupResult> {
    const { request } = record;
    const attempt = Math.max(-1, ...record.tasks.map((start) => start.attempt));
    const starts = record.tasks.filter((start) => start.attempt === attempt);
    if (starts.length === 0) return { kind: 'run', request, mayHaveRun: false };
    const fates = await Promise.all(starts.map((start) => findFate(request, start)));
    return conclude({ ...request, attempt }, fates);
  }

  async function findFate(request: WorkRequest, start: RecordedStart): Promise<TaskLookupResult> {
    const task = taskIdOf({ ...request, attempt: start.attempt }, start.index);
    let missingSince: number | undefined;
    while (!signal.aborted) {
      const reply = await askHolder(start.worker, task);
      if (reply.kind === 'done' || reply.kind === 'failed') return reply;
      if (reply.kind === 'never-seen') {
        return { kind: reply.bootId === start.bootId ? 'not-started' : 'lost' };
      }
      const listed = membership
        .workers(host.dataCentre)
        .some((worker) => worker.id === start.worker);
      missingSince = listed ? undefined : (missingSince ?? now());
      if (missingSince !== undefined && now() > missingSince + options.leaseMs) {
        return { kind: 'lost' };
      }
      await delay(LOOKUP_RETRY_MS, undefined, { ref: false, signal }).catch(() => undefined);
    }
    return { kind: 'lost' };
  }

  async function askHolder(worker: string, task: string): Promise<JoinReply> {
    const holder = claims.ownerOf(workerSubject(worker))?.host;
    if (holder === undefined) return { kind: 'not-held' };
    if (holder === host.id) return (await runner.join(worker, task)) ?? { kind: 'not-held' };
    const reply = await links.request(
      holder,
      'join',
      { worker, task },
      { timeoutMs: JOIN_TIMEOUT_MS },
    );
    return reply.isOk() ? reply.value : { kind: 'not-held' };
  }

  return { lookUpJob: findOutcome, lookUpTask: findFate };
}

function conclude(request: WorkRequest, fates: readonly TaskLookupResult[]): JobLookupResult {
  const next = { ...request, attempt: (request.attempt ?? 0) + 1 };
  if (fates.every((fate) => fate.kind === 'not-started')) {
    // The record names the last start of each task only.
    return { kind: 'run', request: next, mayHaveRun: next.attempt > 1 };
  }
  const answers = fates.filter((fate) => fate.kind === 'done' || fate.kind === 'failed');
  if (answers.length === fates.length) return { kind: 'outcome', outcome: toOutcome(answers) };
  // Every task has ended, so an idempotent job may start over.
  if (request.idempotent) return { kind: 'run', request: next, mayHaveRun: true };
  const detail = 'A worker restarted while it ran the job; the job may have run.';
  return { kind: 'outcome', outcome: unknownOutcome(detail) };
}

function toOutcome(answers: readonly (DoneOutcome | FailedOutcome)[]): Outcome {
  const [first] = answers;
  if (first === undefined || answers.length > 1) return combineOutcomes(answers);
  return match(first)
    .with({ kind: 'failed' }, toDoneOutcome)
    .with({ kind: 'done' }, (done): Outcome => done)
    .exhaustive();
}
