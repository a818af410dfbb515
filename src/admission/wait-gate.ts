/**
 * Decides at a host whether a job would end too late to be of use, from what the leader publishes. It refuses only
 * what two publications in a row show to be too late by a clear margin, and nothing if the last one is not recent.
 */
import type { Step } from '../jobs/index.js';
import {
  estimateCriticalPathMs,
  estimateObjectiveMs,
  USEFUL_LATENESS_FACTOR,
} from '../jobs/index.js';
import { LATE_TOLERANCE_MS } from '../planner/index.js';
import { chooseRetryAfterS } from './retry-after.js';
import { createShareCredit } from './share-credit.js';
import type { QueueRecord, WaitRecord } from './wait-record.js';

/** Age of a record after which it decides nothing; the leader refreshes it more than twice in this time. */
const MAX_AGE_MS = 3000;
/** A job is refused only if it would end later than this multiple of the time for which it is of use. */
const USELESS_MARGIN = 1.25;
/**
 * A job counts as one that becomes late if it waits for longer than this part of its slack. Room that becomes free in
 * pieces too small for a task is part of the rate, so that real waits are longer. At 0.8, half as many
 * again of the jobs that a burst of urgent work brings are accepted and end too late.
 */
const LATE_PART = 0.6;

/** What the decision needs to know of a job that is submitted. */
export interface SubmittedJob {
  readonly queue: string;
  readonly team: string;
  readonly steps: readonly Step[];
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Whether the job runs at set times; it is not refused because of a momentary backlog. */
  readonly scheduled: boolean;
}

/**
 * Why a job is refused. `too-late-beyond-share`: because its team is beyond its share. `too-late-at-limit`: because its
 * team is at its upper limit.
 */
export type WaitRefusalReason = 'too-late' | 'too-late-beyond-share' | 'too-late-at-limit';

export interface WaitRefusal {
  readonly reason: WaitRefusalReason;
  readonly expectedWaitMs: number;
  /** Time from now within which the job would have to end to be of use. */
  readonly usefulMs: number;
  /** Age and store revision of the record that decided. */
  readonly recordAgeMs: number;
  readonly recordRevision: number;
  readonly retryAfterS: number;
}

export interface WaitGate {
  /** Applies the leader's record; undefined if there is no valid one. */
  update(record: WaitRecord | undefined, revision: number): void;
  /** Returns the refusal of a job that would end too late; undefined if the job may be accepted. */
  judge(job: SubmittedJob): WaitRefusal | undefined;
  recordAccepted(team: string): void;
}

export interface WaitGateOptions {
  /** Monotonic milliseconds. */
  readonly now?: () => number;
  readonly random?: () => number;
}

interface Publication {
  readonly record: WaitRecord;
  readonly revision: number;
  readonly receivedAt: number;
}

export function createWaitGate(options: WaitGateOptions = {}): WaitGate {
  const { now = () => performance.now(), random = Math.random } = options;
  const credit = createShareCredit({ now });
  let last: Publication | undefined;
  let previous: Publication | undefined;

  /** Whether the previous publication came just before the last one. */
  function isConfirmed(): boolean {
    if (last === undefined || previous === undefined) return false;
    if (last.record.epoch !== previous.record.epoch) return false;
    // A listing after an outage can show two records of which the first is old.
    if (last.receivedAt - previous.receivedAt > MAX_AGE_MS) return false;
    return Math.abs(last.record.number - previous.record.number) <= 1;
  }

  return {
    update: (record, revision) => {
      if (record === undefined) {
        last = undefined;
        previous = undefined;
        return;
      }
      // A listing repeats what a change has brought, or returns an earlier state.
      if (last !== undefined && revision <= last.revision) return;
      previous = last;
      last = { record, revision, receivedAt: now() };
      credit.update(record);
    },
    judge: (job) => {
      if (last === undefined || previous === undefined || !isConfirmed()) return undefined;
      const ageMs = now() - last.receivedAt;
      if (ageMs > MAX_AGE_MS || job.scheduled || job.steps.some(isLongRunning)) return undefined;
      const within = credit.isWithin(job.team);
      const wait = findTooLong(job, last.record, within);
      if (wait === undefined || findTooLong(job, previous.record, within) === undefined) {
        return undefined;
      }
      return {
        reason: wait.reason,
        expectedWaitMs: wait.waitMs,
        usefulMs: usefulMsOf(job),
        recordAgeMs: Math.round(ageMs),
        recordRevision: last.revision,
        retryAfterS: chooseRetryAfterS({
          backlogMs: wait.backlogMs,
          beyondShare: wait.reason !== 'too-late',
          random,
        }),
      };
    },
    recordAccepted: (team) => {
      credit.recordAccepted(team);
    },
  };
}

function isLongRunning({ longRunning }: Step): boolean {
  return longRunning;
}

function usefulMsOf(job: SubmittedJob): number {
  return Math.round(USEFUL_LATENESS_FACTOR * estimateObjectiveMs(job.steps, job));
}

interface TooLongWait {
  readonly reason: WaitRefusalReason;
  readonly waitMs: number;
  /** Wait for what is ahead of the job at present. */
  readonly backlogMs: number;
}

/** The wait for room or for the team's limit that is too long for the job, if there is one. */
function findTooLong(
  job: SubmittedJob,
  { queues, limited }: WaitRecord,
  within: boolean,
): TooLongWait | undefined {
  const forRoom = tooLongWait(job, queues[job.queue], within);
  if (forRoom !== undefined) {
    return { reason: within ? 'too-late' : 'too-late-beyond-share', ...forRoom };
  }
  const atLimit = tooLongWait(job, limited[job.team]?.[job.queue], within);
  return atLimit && { reason: 'too-late-at-limit', ...atLimit };
}

/** The wait of a job and the backlog ahead of it, if its result would come too late by the margin. */
function tooLongWait(
  job: SubmittedJob,
  queue: QueueRecord | undefined,
  within: boolean,
): Omit<TooLongWait, 'reason'> | undefined {
  if (queue === undefined) return undefined;
  const likely = { ...job, steps: likelySteps(job, queue) };
  const slack = (job.stretch - 1) * estimateCriticalPathMs(likely.steps) + job.targetLatencyMs;
  const { onTimeMs, lateMs } = within ? queue.within : queue.beyond;
  const waitMs = onTimeMs > LATE_PART * (slack + LATE_TOLERANCE_MS) ? lateMs : onTimeMs;
  if (waitMs + ownWorkMs(job, queue) <= USELESS_MARGIN * usefulMsOf(likely)) return undefined;
  return { waitMs, backlogMs: onTimeMs };
}

/**
 * The steps with the usual work of the queue where an estimate is shorter: the objective follows from the real work, and a
 * job whose estimate is too short is of use for longer than the estimate says.
 */
function likelySteps({ steps }: SubmittedJob, { usualMs = 0 }: QueueRecord): readonly Step[] {
  return steps.map((step) => ({ ...step, estimateMs: Math.max(step.estimateMs, usualMs) }));
}

/** The job's own critical path, with the usual work of the queue where an estimate is longer; 0 if that is unknown. */
function ownWorkMs({ steps }: SubmittedJob, { usualMs, factor }: QueueRecord): number {
  if (usualMs === undefined || factor === undefined) return 0;
  return estimateCriticalPathMs(
    steps.map((step) => ({ ...step, estimateMs: Math.min(usualMs, factor * step.estimateMs) })),
  );
}
