/**
 * Durable form of jobs and their progress. Tasks in their initial state are left out, so that the
 * record of a wide job stays small until it runs.
 */
import { z } from 'zod';
import type { Job } from './job.js';
import type { JobProgress, StepProgress, TaskPhase } from './progress.js';
import { beginOccurrence, setPhase } from './progress.js';

const JOB_PREFIX = 'jobs/';
const CANCEL_SUFFIX = '/cancelled';
const PROGRESS_PREFIX = 'progress/';

/** Keys of the store by what they hold. */
export const JOB_STORE_KEYS = {
  jobs: JOB_PREFIX,
  progress: PROGRESS_PREFIX,
  job: (id: string) => `${JOB_PREFIX}${id}`,
  cancellation: (id: string) => `${JOB_PREFIX}${id}${CANCEL_SUFFIX}`,
  progressOf: (id: string) => `${PROGRESS_PREFIX}${id}`,
  backlog: 'backlog',
} as const;

/** What a key below `jobs/` holds. */
export function parseJobKey(key: string): { id: string; kind: 'job' | 'cancellation' } {
  const name = key.slice(JOB_PREFIX.length);
  return name.endsWith(CANCEL_SUFFIX)
    ? { id: name.slice(0, -CANCEL_SUFFIX.length), kind: 'cancellation' }
    : { id: name, kind: 'job' };
}

const sizeSchema = z.object({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const stepSchema = z.object({
  count: z.number().int().positive(),
  size: sizeSchema,
  estimateMs: z.number(),
  after: z.array(z.number()),
  gang: z.boolean(),
  checkpointing: z.boolean(),
  rackSensitive: z.boolean(),
  requiredLabel: z.string().exactOptional(),
  dataRack: z.string().exactOptional(),
  maxPerWorker: z.number().exactOptional(),
  speculative: z.boolean(),
  longRunning: z.boolean(),
});

const jobSchema = z.object({
  id: z.string(),
  team: z.string(),
  queue: z.string(),
  service: z.string(),
  spec: z.string(),
  steps: z.array(stepSchema),
  schedule: z
    .object({ firstAtMs: z.number(), intervalMs: z.number(), count: z.number() })
    .exactOptional(),
  acceptedAtMs: z.number(),
  acceptedBy: z.string().default(''),
});

export function encodeJob(job: Job): string {
  return JSON.stringify(job);
}

/** Decodes a job record; undefined if it is not one. */
export function decodeJob(text: string): Job | undefined {
  return parseWith(jobSchema, text);
}

const PHASES = ['waiting', 'placed', 'done'] as const satisfies readonly TaskPhase[];

/** One task: index, phase, run, failures, checkpoint, worker id, start of its life, failed on. */
const taskSchema = z.tuple([
  z.number(),
  z.number(),
  z.number(),
  z.number(),
  z.string(),
  z.string(),
  z.number(),
  z.array(z.string()),
]);

const progressSchema = z.object({
  state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  begun: z.boolean().default(false),
  next: z.number(),
  steps: z.array(
    z.object({
      occurrence: z.number(),
      step: z.number(),
      gangFailures: z.number(),
      gangFailedRun: z.number(),
      tasks: z.array(taskSchema),
    }),
  ),
});

type StepRecord = z.infer<typeof progressSchema>['steps'][number];
type ProgressRecord = z.infer<typeof progressSchema>;

/** The whole progress record; a finished job keeps only its state. */
export function encodeProgress(progress: JobProgress): string {
  const steps = [...progress.occurrences.values()].flatMap(({ steps }) => steps.map(encodeStep));
  const record: ProgressRecord = {
    state: progress.state,
    begun: progress.begun,
    next: progress.nextOccurrence,
    steps,
  };
  return JSON.stringify(record);
}

function encodeStep(step: StepProgress): StepRecord {
  return {
    occurrence: step.occurrence,
    step: step.number,
    gangFailures: step.gangFailures,
    gangFailedRun: step.gangFailedRun,
    tasks: step.tasks
      .filter(({ run, phase }) => run > 0 || phase !== 'waiting')
      .map((task) => [
        task.index,
        PHASES.indexOf(task.phase),
        task.run,
        task.failures,
        task.checkpoint,
        task.worker?.id ?? '',
        task.worker?.born ?? 0,
        task.failedOn,
      ]),
  };
}

/** Whether a progress record tells a final state, without decoding it; the state comes first in it. */
export function isFinalRecord(text: string | undefined): boolean {
  return text !== undefined && /^\{"state":"(?:completed|failed|cancelled)"/.test(text);
}

export function decodeProgress(text: string): ProgressRecord | undefined {
  return parseWith(progressSchema, text);
}

/** Brings freshly created progress to the state of its record. */
export function restoreProgress(progress: JobProgress, record: ProgressRecord): void {
  progress.state = record.state;
  const open = new Set(record.steps.map(({ occurrence }) => occurrence));
  while (progress.nextOccurrence < record.next) beginOccurrence(progress);
  for (const number of progress.occurrences.keys()) {
    if (!open.has(number)) progress.occurrences.delete(number);
  }
  for (const step of record.steps) restoreStep(progress, step);
  // The order of a placed task may have left the former leader.
  const placed = record.steps.some(({ tasks }) =>
    tasks.some(([, phase]) => PHASES[phase] !== 'waiting'),
  );
  progress.begun = record.begun || placed;
}

function restoreStep(progress: JobProgress, record: StepRecord): void {
  const step = progress.occurrences.get(record.occurrence)?.steps[record.step];
  if (step === undefined) return;
  step.gangFailures = record.gangFailures;
  step.gangFailedRun = record.gangFailedRun;
  for (const [index, phase, run, failures, checkpoint, worker, born, failedOn] of record.tasks) {
    const task = step.tasks[index];
    if (task === undefined) continue;
    setPhase(step, task, PHASES[phase] ?? 'waiting');
    task.run = run;
    task.failures = failures;
    task.checkpoint = checkpoint;
    task.worker = worker === '' ? undefined : { id: worker, born };
    task.failedOn = failedOn;
  }
}

function parseWith<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
