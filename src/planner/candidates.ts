/**
 * Input and output of the planner: candidate workers with their free resources, steps with waiting tasks,
 * team budgets and placements.
 */
import type { Resources } from '../model/index.js';

/**
 * `trial`: runs one task or the members of one gang at a time; the result decides whether the worker is trusted again.
 * `avoided`: gets no tasks.
 */
export type WorkerHealthStatus = 'trusted' | 'trial' | 'avoided';

/** The expected end of a run on a worker. */
export interface Release {
  /** On the planner's clock, in milliseconds. */
  readonly atMs: number;
  readonly size: Resources;
}

/** A worker that tasks can be placed on. The planner reduces `free` as it places tasks. */
export interface CandidateWorker {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly room: Resources;
  free: Resources;
  readonly healthStatus: WorkerHealthStatus;
  /** Speed relative to the median worker of the service; 1 if nothing is known of it. */
  readonly speed: number;
  /** When resources on the worker are expected to become free, the earliest first; computed at each call. */
  readonly releases: () => readonly Release[];
  /** Whether the worker is slow for a while, as after its start; by default, it is not. */
  readonly cold?: boolean;
  /** Number of runs whose resources are charged to the worker. */
  runs: number;
}

/** Selects workers for a step that may not run on all of them. */
export interface PlacementConstraint {
  /** Whether any worker is known on which the step may run. */
  readonly known: boolean;
  /** Those of the workers on which the step may start now. */
  startable(workers: readonly CandidateWorker[]): readonly CandidateWorker[];
  /** Those of the workers on which the step may ever run, as far as is known. */
  runnable(workers: readonly CandidateWorker[]): readonly CandidateWorker[];
}

/** A step with tasks that are ready to run. */
export interface WaitingStep {
  /** Unique name of the step. */
  readonly key: string;
  readonly service: string;
  readonly team: string;
  /** Priority of the queue; 0 is the most urgent. */
  readonly priority: number;
  /** Whether the work exceeds the team's share; it runs only when nothing else waits. */
  readonly beyondShare: boolean;
  /** Time by which the job must end to meet its latency objective, on the planner's clock in milliseconds. */
  readonly objectiveAtMs: number;
  /** Time after which the result of the job is of no use to its caller. */
  readonly uselessAtMs: number;
  /** Estimated remaining work of the job, in milliseconds. */
  readonly remainingMs: number;
  readonly size: Resources;
  /** Expected duration of one task on a worker of speed 1, in milliseconds. */
  readonly workMs: number;
  /** Number of waiting tasks. */
  readonly waiting: number;
  /** Indexes of the waiting tasks; for a gang, all of its tasks. */
  readonly tasks: readonly number[];
  readonly gang: boolean;
  readonly rackSensitive: boolean;
  /** Whether the tasks run until they are stopped, so that a wait for a place saves nothing. */
  readonly longRunning: boolean;
  readonly dataRack: string | undefined;
  readonly requiredLabel: string | undefined;
  readonly maxPerWorker: number | undefined;
  /** Number of tasks of the step on each worker, by worker id. */
  readonly placed: ReadonlyMap<string, number>;
  /** Undefined if the step may run on any worker. */
  readonly constraint: PlacementConstraint | undefined;
  /** Whether a retry of the task should avoid the worker. */
  readonly avoids: (task: number, worker: string) => boolean;
}

/** Upper limit and current usage of a team. */
export interface TeamBudget {
  readonly limit: Resources;
  used: Resources;
}

export interface Placement {
  readonly step: WaitingStep;
  readonly task: number;
  readonly worker: string;
  /** Speed of the worker. */
  readonly speed: number;
  /** Whether the task is where its data is, or its rack-sensitive gang on one rack; undefined if that does not matter. */
  readonly place: 'local' | 'remote' | undefined;
  /** How long the task waited for room at its place although there was room elsewhere; undefined if it did not. */
  readonly heldMs: number | undefined;
}

/**
 * What keeps the tasks of a waiting step from being placed. `pool`: no worker of its service could run it, even with
 * everything else gone. `limit`: the team is at its limit. `permit`: workers that may run it have room, but the step has
 * no valid permits for them. `room`: the workers that may run it are full. `leader`: it is deferrable, and the leader has
 * no time to start more of such work now.
 */
export type PlacementBarrier = 'pool' | 'limit' | 'permit' | 'room' | 'leader';
