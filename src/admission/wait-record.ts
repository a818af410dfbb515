/**
 * Record with which the leader tells all hosts how long a new job would wait. It is empty while no wait is long, names
 * only what is needed for a decision, and changes in steps, so that it is small and seldom written.
 */
import { z } from 'zod';
import type { UsualTask } from './flow-meter.js';
import type { ExpectedWaits, QueueWaits, Waits } from './expected-wait.js';

export const EXPECTED_WAIT_KEY = 'leadership/expected-wait';

const waitsSchema = z.object({
  onTimeMs: z.number().nonnegative(),
  lateMs: z.number().nonnegative(),
});

const queueSchema = z.object({
  within: waitsSchema,
  beyond: waitsSchema,
  /** Mean duration of the queue's tasks and its ratio to their estimates; absent as long as they are not known. */
  usualMs: z.number().nonnegative().exactOptional(),
  factor: z.number().positive().exactOptional(),
});

const teamSchema = z.object({
  /** Jobs that the team may still submit within its share, and by how many this grows in a second. */
  jobs: z.number().nonnegative(),
  perSecond: z.number().nonnegative(),
});

const waitRecordSchema = z.object({
  /** Term of the leader. */
  epoch: z.number(),
  /** Counts the publications of a term, so that one that says the same again is told from an old one. */
  number: z.number(),
  /** Hosts that accept jobs; each takes its part of the share of a team. */
  hosts: z.number().positive(),
  queues: z.record(z.string(), queueSchema),
  /** Waits of teams at their upper limits, by team and queue. */
  limited: z.record(z.string(), z.record(z.string(), queueSchema)),
  /** Teams that have used up most of what they may submit at once within their share. */
  teams: z.record(z.string(), teamSchema),
});

export type WaitRecord = z.infer<typeof waitRecordSchema>;
export type QueueRecord = z.infer<typeof queueSchema>;

/** Step of published waits; they are rounded down, so that no host refuses a job because of rounding. */
const WAIT_STEP_MS = 100;
/** Shorter waits leave any job of use, since the shortest target latency alone is longer. */
const MIN_WAIT_MS = 300;
/** Teams and queues with the longest waits at upper limits; bounds the record. */
const MAX_LIMITED = 40;
const DURATION_STEP_MS = 50;
const FACTOR_STEP = 0.1;

export interface PublishedWaits {
  readonly epoch: number;
  readonly hosts: number;
  readonly waits: ExpectedWaits;
  readonly usualTask: (queue: string) => Pick<UsualTask, 'workMs' | 'factor'> | undefined;
  readonly teams: readonly {
    readonly name: string;
    readonly jobs: number;
    readonly perSecond: number;
  }[];
}

/** Describes what is published, without the number of the publication. */
export function describeWaits(published: PublishedWaits): Omit<WaitRecord, 'number'> {
  const { epoch, hosts, waits, usualTask } = published;
  const queues: Record<string, QueueRecord> = {};
  for (const [name, queueWaits] of waits.queues) {
    if (longestOf(queueWaits) >= MIN_WAIT_MS) {
      queues[name] = describeQueue(queueWaits, usualTask(name));
    }
  }
  const limited: WaitRecord['limited'] = {};
  const longest = waits.limited
    .filter((entry) => longestOf(entry.waits) >= MIN_WAIT_MS)
    .sort((left, right) => longestOf(right.waits) - longestOf(left.waits))
    .slice(0, MAX_LIMITED);
  for (const { team, queue, waits: queueWaits } of longest) {
    limited[team] = { ...limited[team], [queue]: describeQueue(queueWaits, usualTask(queue)) };
  }
  const teams: WaitRecord['teams'] = {};
  for (const { name, jobs, perSecond } of isEmpty({ queues, limited }) ? [] : published.teams) {
    teams[name] = { jobs: Math.floor(jobs), perSecond };
  }
  return { epoch, hosts: Math.max(1, hosts), queues, limited, teams };
}

/** Whether the record names no wait, so that hosts accept all jobs. */
export function isEmpty({ queues, limited }: Pick<WaitRecord, 'queues' | 'limited'>): boolean {
  return Object.keys(queues).length === 0 && Object.keys(limited).length === 0;
}

function longestOf({ within, beyond }: QueueWaits): number {
  return Math.max(within.lateMs, beyond.lateMs);
}

function describeQueue(
  { within, beyond }: QueueWaits,
  usual: Pick<UsualTask, 'workMs' | 'factor'> | undefined,
): QueueRecord {
  const waits = { within: roundWaits(within), beyond: roundWaits(beyond) };
  if (usual === undefined) return waits;
  return {
    ...waits,
    usualMs: roundDown(usual.workMs, DURATION_STEP_MS),
    factor: Math.round(usual.factor / FACTOR_STEP) / 10,
  };
}

function roundWaits({ onTimeMs, lateMs }: Waits): Waits {
  return {
    onTimeMs: roundDown(onTimeMs, WAIT_STEP_MS),
    lateMs: roundDown(lateMs, WAIT_STEP_MS),
  };
}

function roundDown(value: number, step: number): number {
  return Math.floor(value / step) * step;
}

/** Decodes the record; undefined if it is missing or not valid. */
export function decodeWaits(text: string | undefined): WaitRecord | undefined {
  if (text === undefined) return undefined;
  try {
    const parsed = waitRecordSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
