/**
 * Jobs as callers submit them: steps of identical tasks with dependencies, resources and placement
 * constraints.
 */
import type { Resources } from '../model/index.js';

/** Limit of tasks per step; protects the leader's memory from a faulty request or record. */
export const MAX_STEP_TASKS = 10_000;

/** Identical tasks of a job that become ready together. */
export interface Step {
  readonly count: number;
  /** Resources that each task reserves on its worker. */
  readonly size: Resources;
  /** The caller's estimate of one task's run time; 0 if none was given. */
  readonly estimateMs: number;
  /** Indexes of the earlier steps that must be done first. */
  readonly after: readonly number[];
  /** The tasks only make progress while all of them run, and they end together. */
  readonly gang: boolean;
  readonly checkpointing: boolean;
  /** The tasks run slower when they are spread over more than one rack. */
  readonly rackSensitive: boolean;
  readonly requiredLabel?: string;
  /** The rack that holds the input; tasks run slower on other racks. */
  readonly dataRack?: string;
  /** Maximum number of the step's tasks on one worker; absent if unlimited. */
  readonly maxPerWorker?: number;
  /** Several copies of a task may run at once; the first one to finish wins. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled and are restarted whatever their exit status. */
  readonly longRunning: boolean;
}

/** Schedule of a recurring job: occurrence k is due at `firstAtMs + k * intervalMs`, in Unix milliseconds. */
export interface Schedule {
  readonly firstAtMs: number;
  readonly intervalMs: number;
  readonly count: number;
}

/** What a queue says about its jobs. */
export interface QueueTerms {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly maxAttempts: number;
  /** A job is on time if it ends within `stretch` times its critical path plus `targetLatencyMs`. */
  readonly stretch: number;
  readonly targetLatencyMs: number;
  /** Timing of the advice service; absent if every worker of the service may run every step. */
  readonly advice?: {
    readonly decideMs: number;
    readonly perWorkerMs: number;
    readonly validMs: number;
  };
}

export interface Job {
  readonly id: string;
  readonly team: string;
  readonly queue: string;
  /** Service whose workers run the tasks, as configured when the job was accepted. */
  readonly service: string;
  readonly spec: string;
  readonly steps: readonly Step[];
  readonly schedule?: Schedule;
  /** Terms of the queue when the job was accepted. They hold while no queue of that name is configured. */
  readonly terms?: QueueTerms;
  /** Unix milliseconds by the clock of the host that accepted the job. */
  readonly acceptedAtMs: number;
  /** Name of that host, which is notified when the job ends; empty if unknown. */
  readonly acceptedBy: string;
  /** Store revision of the configuration that allowed the job; earlier versions do not record it. */
  readonly configurationRevision?: number;
}

/** State of a job as reported to callers. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Whether the state is final. */
export function isFinal(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

/** Length of the longest chain of dependent steps, from the caller's estimates. */
export function estimateCriticalPathMs(steps: readonly Step[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    // Spreading a long list as arguments overflows the stack.
    const start = step.after.reduce((latest, index) => Math.max(latest, ends[index] ?? 0), 0);
    ends.push(start + step.estimateMs);
  }
  return ends.reduce((latest, end) => Math.max(latest, end), 0);
}

/** Length of the longest chain of dependent steps from the start of each step, for the given durations of steps. */
export function estimateCriticalPaths(
  steps: readonly Step[],
  durationsMs: readonly number[] = steps.map(({ estimateMs }) => estimateMs),
): number[] {
  const criticalPathMs = [...durationsMs];
  for (let index = steps.length - 1; index >= 0; index -= 1) {
    for (const earlier of steps[index]?.after ?? []) {
      const through = (durationsMs[earlier] ?? 0) + (criticalPathMs[index] ?? 0);
      criticalPathMs[earlier] = Math.max(criticalPathMs[earlier] ?? 0, through);
    }
  }
  return criticalPathMs;
}

/** A late result is still useful to callers up to this multiple of the objective. */
export const USEFUL_LATENESS_FACTOR = 3;

/** Milliseconds from acceptance within which a job has to end to meet its objective. */
export function estimateObjectiveMs(
  steps: readonly Step[],
  { stretch, targetLatencyMs }: Pick<QueueTerms, 'stretch' | 'targetLatencyMs'>,
): number {
  return stretch * estimateCriticalPathMs(steps) + targetLatencyMs;
}

/** Whether each `after` names an earlier step, which rules out dependency cycles. */
export function hasValidDependencies(steps: readonly Step[]): boolean {
  return steps.every((step, index) =>
    step.after.every((earlier) => Number.isInteger(earlier) && earlier >= 0 && earlier < index),
  );
}
