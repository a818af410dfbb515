/**
 * Types of the tasks on a worker and the interface of the worker client.
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
  /** Owner (`host/bootId`) of the allotment that the task is charged to. */
  readonly chargedTo: string;
  readonly epoch: number;
}

/** State of a worker when its epoch is raised. */
export interface WorkerSnapshot {
  readonly bootId: string;
  readonly epoch: number;
  readonly running: readonly RunningTask[];
}

/** Resource usage of the tasks on a worker, which lags behind. */
export interface WorkerReport {
  readonly bootId: string;
  readonly usage: ReadonlyMap<TaskId, Resources>;
  readonly leaving: boolean;
}

/** A request to start a task. */
export interface TaskStart extends RunningTask {
  readonly leaseMs: number;
  readonly maxRunMs: number;
  readonly input: Uint8Array;
  readonly contentType: string;
}

/** The task ran, has certainly ended and reported a failure (HTTP status 500 or higher). */
export interface FailedOutcome {
  readonly kind: 'failed';
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly worker: string;
}

/** The outcome of a task. `refused` means that the task cannot have run. */
export type TaskOutcome = DoneOutcome | FailedOutcome | RefusedOutcome | UnknownOutcome;

/** Result of a join if the worker has not seen the task since it booted. */
export interface TaskNeverSeen {
  readonly kind: 'never-seen';
  readonly bootId: string;
}

export interface WorkerError {
  readonly kind: 'stale-epoch' | 'unreachable';
  readonly detail: string;
}

/** Client of one worker. */
export interface WorkerClient {
  /** Fences lower epochs. After it resolves, the worker refuses starts under them. */
  raiseEpoch(epoch: number, holder: string): ResultAsync<WorkerSnapshot, WorkerError>;
  /** Starts a task and waits for its outcome. */
  start(task: TaskStart): Promise<TaskOutcome>;
  /** Waits for the outcome of a task that is running or has run. */
  join(task: TaskId): Promise<TaskOutcome | TaskNeverSeen>;
  /** Renews the leases of all tasks. Any host that passes the current epoch may call it. */
  renew(epoch: number, leaseMs: number): ResultAsync<void, WorkerError>;
  stop(task: TaskId, epoch: number): ResultAsync<void, WorkerError>;
  checkpoint(task: TaskId, epoch: number): ResultAsync<void, WorkerError>;
  /** Limits a task to a fraction of its processors. */
  throttle(task: TaskId, epoch: number, fraction: number): ResultAsync<void, WorkerError>;
  report(): ResultAsync<WorkerReport, WorkerError>;
  /** Refuses new starts and waits for pending calls to complete. */
  drain(): Promise<void>;
  /** Aborts all calls. */
  close(): Promise<void>;
}
