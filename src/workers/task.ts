/**
 * Tasks as a worker knows them, and the interface of a worker's client.
 */
import type { ResultAsync } from 'neverthrow';
import type {
  DoneOutcome,
  RefusedOutcome,
  Resources,
  TaskId,
  UnknownOutcome,
  WorkClass,
} from '../model/index.js';

/** A task that runs on a worker. */
export interface RunningTask {
  readonly id: TaskId;
  readonly team: string;
  readonly entry: string;
  readonly class: WorkClass;
  readonly size: Resources;
  /** Owner (host id and boot id) of the allotment that the task is charged to. */
  readonly chargedTo: string;
  readonly epoch: number;
}

/** What a worker knows when a new epoch is raised. */
export interface WorkerSnapshot {
  readonly bootId: string;
  readonly epoch: number;
  readonly running: readonly RunningTask[];
}

/** Lagging usage of a worker. */
export interface WorkerReport {
  readonly bootId: string;
  readonly usage: ReadonlyMap<TaskId, Resources>;
  readonly leaving: boolean;
}

/** Everything that a worker needs to start a task. */
export interface TaskStart extends RunningTask {
  readonly leaseMs: number;
  readonly maxRunMs: number;
  readonly input: Uint8Array;
  readonly contentType: string;
}

/** The task ran, has certainly ended, and reported failure (HTTP status of 500 or more). */
export interface FailedOutcome {
  readonly kind: 'failed';
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly worker: string;
}

/** `refused` states that nothing can have run. */
export type TaskOutcome = DoneOutcome | FailedOutcome | RefusedOutcome | UnknownOutcome;

/** The worker has not seen the task since it booted. */
export interface TaskNeverSeen {
  readonly kind: 'never-seen';
  readonly bootId: string;
}

export interface WorkerError {
  readonly kind: 'stale-epoch' | 'unreachable';
  readonly detail: string;
}

/** The client of one worker. */
export interface WorkerClient {
  /** Fences lower epochs; after it returns, the worker refuses their starts. */
  raiseEpoch(epoch: number, holder: string): ResultAsync<WorkerSnapshot, WorkerError>;
  /** Starts a task and waits for its outcome. */
  start(task: TaskStart): Promise<TaskOutcome>;
  /** Waits for the outcome of a task that is running or has run. */
  join(task: TaskId): Promise<TaskOutcome | TaskNeverSeen>;
  /** Renews the leases of all tasks; any host that names the worker's epoch may do it. */
  renew(epoch: number, leaseMs: number): ResultAsync<void, WorkerError>;
  stop(task: TaskId, epoch: number): ResultAsync<void, WorkerError>;
  checkpoint(task: TaskId, epoch: number): ResultAsync<void, WorkerError>;
  /** Limits a task to a fraction of its processors. */
  throttle(task: TaskId, epoch: number, fraction: number): ResultAsync<void, WorkerError>;
  report(): ResultAsync<WorkerReport, WorkerError>;
  /** Lets calls under way end; new ones are refused. */
  drain(): Promise<void>;
  /** Ends all calls at once. */
  close(): Promise<void>;
}
