/**
 * Determines how the tasks of an adopted job ended, so that none is started again while its first run may
 * still be in progress.
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

/** Whether an adopted job has to run, or its outcome. */
export type JobLookupResult =
  | { readonly kind: 'run'; readonly request: WorkRequest; readonly mayHaveRun: boolean }
  | { readonly kind: 'outcome'; readonly outcome: Outcome };

export interface TaskLookup {
  lookUpJob(record: JobRecord): Promise<JobLookupResult>;
  /** Waits until it is certain whether and how a started task has ended. */
  lookUpTask(request: WorkRequest, start: RecordedStart): Promise<TaskLookupResult>;
}

export type RecordedStart = JobRecord['tasks'][number];

/** `not-started`: the task certainly never ran; `lost`: it certainly ended, but its outcome is unknown. */
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

  async function lookUpJob(record: JobRecord): Promise<JobLookupResult> {
    const { request } = record;
    const attempt = Math.max(-1, ...record.tasks.map((start) => start.attempt));
    const starts = record.tasks.filter((start) => start.attempt === attempt);
    if (starts.length === 0) return { kind: 'run', request, mayHaveRun: false };
    const results = await Promise.all(starts.map((start) => lookUpTask(request, start)));
    return decideFromResults({ ...request, attempt }, results);
  }

  async function lookUpTask(request: WorkRequest, start: RecordedStart): Promise<TaskLookupResult> {
    const task = taskIdOf({ ...request, attempt: start.attempt }, start.index);
    let missingSince: number | undefined;
    while (!signal.aborted) {
      const reply = await joinAtHolder(start.worker, task);
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

  async function joinAtHolder(worker: string, task: string): Promise<JoinReply> {
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

  return { lookUpJob, lookUpTask };
}

function decideFromResults(
  request: WorkRequest,
  results: readonly TaskLookupResult[],
): JobLookupResult {
  const next = { ...request, attempt: (request.attempt ?? 0) + 1 };
  if (results.every((result) => result.kind === 'not-started')) {
    // The record contains only the last start of each task.
    return { kind: 'run', request: next, mayHaveRun: next.attempt > 1 };
  }
  const answers = results.filter((result) => result.kind === 'done' || result.kind === 'failed');
  if (answers.length === results.length) return { kind: 'outcome', outcome: toOutcome(answers) };
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
