/**
 * Workers as listed in the fleet, the orders that the leader sends to them, and their reports.
 */
import type { WorkerIncarnation } from '../jobs/index.js';
import type { Resources } from '../model/index.js';

/** A worker as it registers itself in the store. */
export interface FleetWorker {
  readonly incarnation: WorkerIncarnation;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Workers in state `leaving` are draining and get no new work. */
  readonly state: 'ready' | 'leaving';
  /** Total resources that tasks may use at the same time. */
  readonly room: Resources;
  readonly labels: readonly string[];
  /** The rack label of the worker; empty if it has none. */
  readonly rack: string;
  /** Shortest time until a leaving worker is gone, in milliseconds. */
  readonly leavesInMs: number | undefined;
  /** How much longer the worker is slow after its start, in milliseconds from when its entry was written. */
  readonly coldRemainingMs?: number | undefined;
  /** Until when the worker is slow, in monotonic milliseconds; undefined if it is not. */
  readonly coldUntil?: number | undefined;
  /** Revision of the worker's entry in the store; undefined if it is not listed. */
  readonly revision?: number;
}

/** A run in progress on a worker. */
export interface RunningTask {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** Progress, 0 to 100. */
  readonly percent: number;
}

/**
 * How a run ended. `lapsed`: the worker's lease expired. `broken`: another member of the gang ended.
 * `alone`: the other members of the gang did not join in time.
 */
export type EndKind = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface EndedTask {
  /** Sequence number of the end within this incarnation of the worker, without gaps. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly how: EndKind;
  readonly checkpoint: string;
}

/** Response to a lease renewal: all runs in progress and the ends not yet acknowledged. */
export interface WorkerReport {
  readonly born: number | undefined;
  /** The worker's monotonic clock in milliseconds. */
  readonly clockMs: number;
  readonly running: readonly RunningTask[];
  readonly ended: readonly EndedTask[];
}

/** Why a worker refused an order; a refused order has no effect. */
export type OrderRefusal =
  | 'fenced'
  | 'stale-run'
  | 'too-late'
  | 'no-room'
  | 'no-permit'
  | 'unhealthy'
  | 'malformed'
  | 'unreachable';

/**
 * `unknown`: no response; the order may have been or may still be executed. `other-incarnation`: another incarnation
 * of the worker responded, so the addressed one has ended.
 */
export type OrderOutcome =
  | { readonly kind: 'accepted'; readonly clockMs: number }
  | {
      readonly kind: 'refused';
      readonly reason: OrderRefusal;
      readonly clockMs: number | undefined;
    }
  | { readonly kind: 'unknown'; readonly detail: string }
  | { readonly kind: 'other-incarnation' };

export type ReportOutcome =
  | { readonly kind: 'report'; readonly report: WorkerReport }
  | Exclude<OrderOutcome, { kind: 'accepted' }>;

export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** The worker refuses the start after this time on its clock. */
  readonly startBeforeMs: number;
  readonly fencingToken: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

export interface StopOrder {
  readonly task: string;
  readonly run: number;
  readonly fencingToken: number;
}

export interface LeaseRenewal {
  readonly fencingToken: number;
  /** Ends up to this sequence number are durable, so the worker may discard them. */
  readonly acknowledgedThrough: number;
  /** New end of the lease on the worker's clock; undefined leaves the lease unchanged. */
  readonly leaseUntilMs: number | undefined;
  /** The worker responds when a task ends, and after this time at the latest. */
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
