/**
 * Encodes jobs and their progress for the store, and defines their keys. Tasks in their initial state are omitted and
 * those that are done are written as spans, so that the record of a job with many tasks stays small.
 */
import { z } from 'zod';
import { MAX_STEP_TASKS } from './job.js';
import type { Job } from './job.js';
import type { JobProgress, StepProgress, TaskPhase } from './progress.js';
import { beginOccurrence, openTask, setDone, setPhase } from './progress.js';

const JOB_PREFIX = 'jobs/';
const CANCEL_SUFFIX = '/cancelled';
const CANCELLED_PREFIX = 'cancelled/';
const PROGRESS_PREFIX = 'progress/';

/** Keys and key prefixes in the store. */
export const JOB_STORE_KEYS = {
  jobs: JOB_PREFIX,
  progress: PROGRESS_PREFIX,
  job: (id: string) => `${JOB_PREFIX}${id}`,
  /** Record of a cancellation beside the job's, so that one listing shows both. */
  cancellation: (id: string) => `${JOB_PREFIX}${id}${CANCEL_SUFFIX}`,
  /** Index of the cancellations of jobs that have not ended; short enough to be listed often. */
  cancelled: CANCELLED_PREFIX,
  cancelledJob: (id: string) => `${CANCELLED_PREFIX}${id}`,
  progressOf: (id: string) => `${PROGRESS_PREFIX}${id}`,
  backlog: 'backlog',
} as const;

/** Keys of a job that are removed with the write of its final state, of which only the progress record is kept. */
export function keysUntilEnd(id: string): readonly string[] {
  const { job, cancellation, cancelledJob } = JOB_STORE_KEYS;
  return [job(id), cancellation(id), cancelledJob(id)];
}

/** Tells whether a key below `jobs/` holds a job or a cancellation, and of which job. */
export function parseJobKey(key: string): { id: string; kind: 'job' | 'cancellation' } {
  const name = key.slice(JOB_PREFIX.length);
  return name.endsWith(CANCEL_SUFFIX)
    ? { id: name.slice(0, -CANCEL_SUFFIX.length), kind: 'cancellation' }
    : { id: name, kind: 'job' };
}

/** A count or an index. */
const wholeSchema = z.int().nonnegative();
const amountSchema = z.number().nonnegative().max(Number.MAX_SAFE_INTEGER);

const sizeSchema = z.object({
  processors: amountSchema,
  memoryMb: amountSchema,
  accelerators: amountSchema,
});

const stepSchema = z.object({
  count: z.int().positive().max(MAX_STEP_TASKS),
  size: sizeSchema,
  estimateMs: amountSchema,
  after: z.array(wholeSchema),
  gang: z.boolean(),
  checkpointing: z.boolean(),
  rackSensitive: z.boolean(),
  requiredLabel: z.string().exactOptional(),
  dataRack: z.string().exactOptional(),
  maxPerWorker: z.number().exactOptional(),
  speculative: z.boolean(),
  longRunning: z.boolean(),
});

const termsSchema = z.object({
  priority: z.number(),
  maxAttempts: z.number(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  advice: z
    .object({ decideMs: z.number(), perWorkerMs: z.number(), validMs: z.number() })
    .exactOptional(),
});

const jobSchema = z.object({
  id: z.string(),
  team: z.string(),
  queue: z.string(),
  service: z.string(),
  spec: z.string(),
  steps: z.array(stepSchema),
  schedule: z
    .object({ firstAtMs: z.number(), intervalMs: amountSchema, count: wholeSchema })
    .exactOptional(),
  terms: termsSchema.exactOptional(),
  acceptedAtMs: z.number(),
  acceptedBy: z.string().default(''),
  configurationRevision: z.number().exactOptional(),
});

export function encodeJob(job: Job): string {
  return JSON.stringify(job);
}

/** Decodes a job record; undefined if the text is not valid. */
export function decodeJob(text: string): Job | undefined {
  return parseRecord(jobSchema, text);
}

const PHASES = ['waiting', 'placed', 'done'] as const satisfies readonly TaskPhase[];

/** One task: index, phase, run, failures, checkpoint, worker id, start time of the worker, failedOn. */
const taskSchema = z.tuple([
  wholeSchema,
  wholeSchema,
  wholeSchema,
  wholeSchema,
  z.string(),
  z.string(),
  z.number(),
  z.array(z.string()),
]);

/** First and last index of consecutive tasks that are done. */
const spanSchema = z.tuple([wholeSchema, wholeSchema]);

const progressSchema = z.object({
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  begun: z.boolean().default(false),
  next: wholeSchema,
  steps: z.array(
    z.object({
      occurrence: wholeSchema,
      step: wholeSchema,
      gangFailures: wholeSchema,
      gangFailedRun: wholeSchema,
      tasks: z.array(z.union([taskSchema, spanSchema])),
    }),
  ),
});

type StepRecord = z.infer<typeof progressSchema>['steps'][number];
type ProgressRecord = z.infer<typeof progressSchema>;

/** Encodes the whole progress of a job; of a finished job only the state is left. */
export function encodeProgress(progress: JobProgress): string {
  const open = [...progress.occurrences.values()].flatMap(({ steps }) => {
    const touched = steps.filter(isTouched);
    // One step shows that the occurrence has begun.
    return touched.length > 0 ? touched : steps.slice(0, 1);
  });
  const doneCount = open.reduce((sum, step) => sum + step.doneCount, 0);
  const steps = open.map((step) => encodeStep(step, doneCount > MAX_LISTED_DONE));
  const record: ProgressRecord = {
    state: progress.state,
    begun: progress.begun,
    next: progress.nextOccurrence,
    steps,
  };
  return JSON.stringify(record);
}

/** Whether the record of the step differs from its initial state. */
function isTouched({ tasks, doneCount, gangFailures, gangFailedRun }: StepProgress): boolean {
  return tasks.size > 0 || doneCount > 0 || gangFailures > 0 || gangFailedRun > 0;
}

/** Of jobs with no more done tasks, hosts of an older version can read the record; they know no spans. */
const MAX_LISTED_DONE = 500;

function encodeDone({ done }: StepProgress, asSpans: boolean): StepRecord['tasks'] {
  if (asSpans) return done;
  const phase = PHASES.indexOf('done');
  return done.flatMap(([first, last]) =>
    Array.from({ length: last - first + 1 }, (_, offset): StepRecord['tasks'][number] => [
      first + offset,
      phase,
      0,
      0,
      '',
      '',
      0,
      [],
    ]),
  );
}

function encodeStep(step: StepProgress, doneAsSpans: boolean): StepRecord {
  return {
    occurrence: step.occurrence,
    step: step.number,
    gangFailures: step.gangFailures,
    gangFailedRun: step.gangFailedRun,
    tasks: [
      ...encodeDone(step, doneAsSpans),
      ...[...step.tasks.values()].map((task): StepRecord['tasks'][number] => [
        task.index,
        PHASES.indexOf(task.phase),
        task.run,
        task.failures,
        task.checkpoint,
        task.worker?.id ?? '',
        task.worker?.born ?? 0,
        task.failedOn,
      ]),
    ],
  };
}

/** Whether a progress record holds a final state. Checks the text alone; `state` is its first field. */
export function isFinalRecord(text: string | undefined): boolean {
  return text !== undefined && /^\{"state":"(?:completed|failed|cancelled)"/.test(text);
}

export function decodeProgress(text: string): ProgressRecord | undefined {
  return parseRecord(progressSchema, text);
}

/** Applies a stored record to newly created progress. */
export function restoreProgress(progress: JobProgress, record: ProgressRecord): void {
  progress.state = record.state;
  const next = Math.max(progress.nextOccurrence, record.next);
  const open = new Set(record.steps.map(({ occurrence }) => occurrence));
  progress.occurrences.clear();
  // Only the open ones are created: of a job that repeats often, millions may have ended.
  for (const number of [...open].sort((left, right) => left - right)) {
    if (number >= next) continue;
    progress.nextOccurrence = number;
    beginOccurrence(progress);
  }
  progress.nextOccurrence = next;
  for (const step of record.steps) restoreStep(progress, step);
  // The former leader may have sent the start order of a placed task.
  const hasOrderedTask = record.steps.some(({ tasks }) =>
    tasks.some((task) => task.length === 2 || PHASES[task[1]] !== 'waiting'),
  );
  progress.begun = record.begun || hasOrderedTask;
}

function restoreStep(progress: JobProgress, record: StepRecord): void {
  const step = progress.occurrences.get(record.occurrence)?.steps[record.step];
  if (step === undefined) return;
  step.gangFailures = record.gangFailures;
  step.gangFailedRun = record.gangFailedRun;
  for (const entry of record.tasks) {
    if (entry.length === 2) {
      setDone(step, entry);
      continue;
    }
    const [index, phase, run, failures, checkpoint, worker, born, failedOn] = entry;
    const task = openTask(step, index);
    if (task === undefined) continue;
    setPhase(step, task, PHASES[phase] ?? 'waiting');
    task.run = run;
    task.failures = failures;
    task.checkpoint = checkpoint;
    task.worker = worker === '' ? undefined : { id: worker, born };
    task.failedOn = failedOn;
  }
}

function parseRecord<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
