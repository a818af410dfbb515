/**
 * Job records and their stored form. Inputs and answers are bytes, which are encoded in JSON as
 * base64.
 */
import { z } from 'zod';
import type { Outcome, RefusalReason, WorkRequest } from '../model/index.js';

/** One start of a task. */
export interface StartedTask {
  readonly index: number;
  readonly worker: string;
  readonly bootId: string;
  readonly attempt: number;
}

/** An accepted job. */
export interface JobRecord {
  /** The input of an ended job is empty. */
  readonly request: WorkRequest;
  readonly state: 'queued' | 'running' | 'ended';
  /** The latest start of each task. */
  readonly tasks: readonly StartedTask[];
  readonly outcome?: Outcome;
  /** Wall-clock time of the end, in milliseconds since the Unix epoch. */
  readonly endedAt?: number;
}

const bytesSchema = z.string().transform((text): Uint8Array => Buffer.from(text, 'base64'));
const resourcesSchema = z.object({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const requestSchema = z.object({
  id: z.string(),
  callerId: z.boolean(),
  team: z.string(),
  entry: z.string(),
  class: z.enum(['interactive', 'batch', 'gang', 'service']),
  idempotent: z.boolean(),
  size: resourcesSchema,
  tasks: z.number(),
  input: bytesSchema,
  contentType: z.string(),
  submittedAt: z.number(),
  startBefore: z.number(),
  maxRunMs: z.number(),
  maxAttempts: z.number(),
  hops: z.array(z.string()),
});

const outcomeSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('done'),
    status: z.number(),
    contentType: z.string(),
    body: bytesSchema,
    worker: z.string(),
  }),
  z.object({
    kind: z.literal('refused'),
    reason: z.string().transform((reason) => reason as RefusalReason),
    detail: z.string(),
    retryAfterMs: z.number().exactOptional(),
  }),
  z.object({ kind: z.literal('unknown'), detail: z.string() }),
]);

const jobSchema = z.object({
  request: requestSchema,
  state: z.enum(['queued', 'running', 'ended']),
  tasks: z.array(
    z.object({
      index: z.number(),
      worker: z.string(),
      bootId: z.string(),
      attempt: z.number(),
    }),
  ),
  outcome: outcomeSchema.exactOptional(),
  endedAt: z.number().exactOptional(),
});

const segmentSchema = z.object({
  owner: z.string(),
  epoch: z.number().int().min(1),
  jobs: z.array(jobSchema),
});

/** One stored value of the journal: an owner and its jobs. */
export interface StoredSegment {
  readonly owner: string;
  readonly epoch: number;
  readonly jobs: readonly JobRecord[];
}

/** A job as stored. */
export type EncodedJob = z.input<typeof jobSchema>;

/** Validates a stored value and throws if it is not a segment of the journal. */
export function parseSegment(data: unknown): StoredSegment {
  return segmentSchema.parse(data);
}

export function encodeJob(job: JobRecord): EncodedJob {
  const { request, tasks, outcome, ...rest } = job;
  return {
    ...rest,
    request: { ...request, input: encodeBytes(request.input), hops: [...request.hops] },
    tasks: [...tasks],
    ...(outcome !== undefined && { outcome: encodeOutcome(outcome) }),
  };
}

function encodeOutcome(outcome: Outcome): z.input<typeof outcomeSchema> {
  return outcome.kind === 'done' ? { ...outcome, body: encodeBytes(outcome.body) } : outcome;
}

function encodeBytes(data: Uint8Array): string {
  return Buffer.from(data).toString('base64');
}

/** Returns the key of a job, which is used only within this process. */
export function jobKey(team: string, id: string): string {
  return `${id}/${team}`;
}

export function keyOfJob({ request }: JobRecord): string {
  return jobKey(request.team, request.id);
}
