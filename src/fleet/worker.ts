/**
 * Workers as the fleet lists them, and the orders that the leader gives them.
 */
import type { WorkerIncarnation } from '../jobs/index.js';
import type { Resources } from '../model/index.js';

/** What a worker says of itself. */
export interface FleetWorker {
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** `leaving` workers get no new work. */
  readonly state: 'ready' | 'leaving';
  /** All that tasks may use at the same time. */
  readonly room: Resources;
  readonly labels: readonly string[];
  /** The rack among the labels; empty if none is named. */
  readonly rack: string;
  /** Least time until a leaving worker is gone, in milliseconds. */
  readonly leavesInMs: number | undefined;
}

/** A run that a worker has at work. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress, 0 to 100. */
  readonly percent: number;
}

/**
 * How a run ended. `lapsed`: the worker's lease expired. `broken`: another member of the gang ended.
 * `alone`: the other members of the gang did not arrive in time.
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedTask {
  /** Position in the worker's list of ends; rises by one with each end of a life. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** Answer to a lease renewal: everything that runs, and the ends not yet acknowledged. */
export interface WorkerReport {
  readonly born: number | undefined;
  /** The worker's own steady clock in milliseconds. */
  readonly clockMs: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

/** Why a worker refused an order; it did nothing then. */
export type OrderRefusal =
  | 'stale-epoch'
  | 'stale-run'
  | 'too-late'
  | 'no-room'
  | 'no-permit'
  | 'unhealthy'
  | 'malformed'
  | 'unreachable';

/**
 * `unknown`: no answer, the order may have been or may still be carried out. `other-life`: another
 * life of the worker answered, so the intended one has ended.
 */
export type OrderOutcome =
  | { readonly kind: 'accepted'; readonly clockMs: number }
  | {
      readonly kind: 'refused';
      readonly reason: OrderRefusal;
      readonly clockMs: number | undefined;
    }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'other-life' };

export type ReportOutcome =
  | { readonly kind: 'report'; readonly report: WorkerReport }
  | Exclude<OrderOutcome, { kind: 'accepted' }>;

export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** The worker refuses the start when its clock has passed this. */
  readonly startBeforeMs: number;
  readonly epoch: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

export interface StopOrder {
  readonly task: string;
  readonly run: number;
  readonly epoch: number;
}

export interface LeaseRenewal {
  readonly epoch: number;
  /** Ends up to here are durable and may be forgotten. */
  readonly acknowledgedThrough: number;
  /** New end of the lease on the worker's clock; undefined leaves it as it is. */
  readonly leaseUntilMs: number | undefined;
  /** The worker answers when a task ends, and after this at the latest. */
  readonly waitMs: number;
}

/** Connection to one worker. */
export interface WorkerConnection {
  start(order: StartOrder): Promise<OrderOutcome>;
  stop(order: StopOrder): Promise<OrderOutcome>;
  renew(renewal: LeaseRenewal): Promise<ReportOutcome>;
  close(): void;
}

export function isSameIncarnation(left: WorkerIncarnation, right: WorkerIncarnation): boolean {
  return left.id === right.id && left.born === right.born;
}
