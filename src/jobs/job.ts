/**
 * Jobs as callers hand them in: steps of equal tasks with dependencies, resources and placement
 * requirements.
 */
import type { Resources } from '../model/index.js';

/** Equal tasks of a job that become ready together. */
export interface Step {
  readonly count: number;
  /** What each task takes from its worker. */
  readonly size: Resources;
  /** The caller's rough estimate of one task's run time; 0 if none was given. */
  readonly estimateMs: number;
  /** Earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** The tasks only make progress together and end together. */
  readonly gang: boolean;
  readonly checkpointing: boolean;
  /** The tasks are slower when they run on more than one rack. */
  readonly rackSensitive: boolean;
  readonly requiredLabel?: string;
  /** The rack that holds the input; elsewhere the tasks are slower. */
  readonly dataRack?: string;
  /** Most tasks of the step on one worker; absent if unlimited. */
  readonly maxPerWorker?: number;
  /** Several copies of a task may run at once; the first to finish counts. */
  readonly speculative: boolean;
  /** The tasks run until the job is cancelled and restart however they end. */
  readonly longRunning: boolean;
}

/** When a repeated job is due: occurrence k at `firstAtMs + k * intervalMs`, in Unix milliseconds. */
export interface Schedule {
  readonly firstAtMs: number;
  readonly intervalMs: number;
  readonly count: number;
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
  /** Unix milliseconds at the host that accepted the job. */
  readonly acceptedAtMs: number;
  /** Name of that host, which is told how the job ends; empty if not known. */
  readonly acceptedBy: string;
}

/** What callers are told of a job. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Whether the state never changes again. */
export function isFinal(state: JobState): boolean {
  return state === 'completed' || state === 'failed' || state === 'cancelled';
}

/** The caller's estimate of the longest chain of dependent steps. */
export function estimateCriticalPathMs(steps: readonly Step[]): number {
  const ends: number[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map((index) => ends[index] ?? 0));
    ends.push(start + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Whether each `after` names an earlier step, so that the steps have an order without cycles. */
export function hasValidDependencies(steps: readonly Step[]): boolean {
  return steps.every((step, index) =>
    step.after.every((earlier) => Number.isInteger(earlier) && earlier >= 0 && earlier < index),
  );
}
