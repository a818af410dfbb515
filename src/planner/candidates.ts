/**
 * What the planner decides about: workers with their free room, and steps with tasks that wait.
 */
import type { Resources } from '../model/index.js';

/** `trial`: takes one task at a time, whose end decides. `avoided`: takes nothing. */
export type WorkerHealthStatus = 'trusted' | 'trial' | 'avoided';

/** A worker as the planner sees it. The planner lowers `free` as it places tasks. */
export interface CandidateWorker {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly room: Resources;
  free: Resources;
  readonly healthStatus: WorkerHealthStatus;
  /** Runs that are charged to it. */
  runs: number;
}

/** Tasks of one step that could run now. */
export interface WaitingStep {
  /** Step name; unique. */
  readonly key: string;
  readonly service: string;
  readonly team: string;
  /** Class of the queue; 0 is the most urgent. */
  readonly priority: number;
  /** Work beyond the team's weight, which runs when nothing else waits. */
  readonly beyondShare: boolean;
  /** Time at which the job misses its objective, on the planner's clock in milliseconds. */
  readonly objectiveAtMs: number;
  /** Time after which the job's end is of no use to its caller any more. */
  readonly uselessAtMs: number;
  /** Estimated work of the job that is still ahead, in milliseconds. */
  readonly remainingMs: number;
  readonly size: Resources;
  /** Indexes of the tasks that wait; a gang waits as a whole. */
  readonly tasks: readonly number[];
  readonly gang: boolean;
  readonly rackSensitive: boolean;
  readonly dataRack: string | undefined;
  readonly requiredLabel: string | undefined;
  readonly maxPerWorker: number | undefined;
  /** Tasks of the step that each worker has now. */
  readonly placed: ReadonlyMap<string, number>;
  /** Whether the step may start on the worker now. */
  readonly mayStart: (worker: string) => boolean;
  /** Whether the step may ever run on the worker, as far as is known. */
  readonly mayRun: (worker: string) => boolean;
  /** Whether a retry of the task should avoid the worker. */
  readonly avoids: (task: number, worker: string) => boolean;
}

/** What a team has running and may have. */
export interface TeamBudget {
  readonly limit: Resources;
  used: Resources;
}

export interface Placement {
  readonly step: WaitingStep;
  readonly task: number;
  readonly worker: string;
}
