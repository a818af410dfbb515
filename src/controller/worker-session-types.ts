/**
 * Interface of the leader's sessions with workers, and what a session needs from the controller.
 */
import type { FleetWorker, WorkerConnection } from '../fleet/index.js';
import type { ReportedEnd, RunEnd, WorkerIncarnation } from '../jobs/index.js';
import type { Resources } from '../model/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { FencingTokens } from './fencing-tokens.js';
import type { Run } from './run.js';

export interface WorkerSessionOptions {
  readonly worker: FleetWorker;
  readonly connect: (address: string, incarnation: WorkerIncarnation) => WorkerConnection;
  readonly events: EventLog;
  readonly meters: Meters;
  readonly epoch: number;
  readonly tokens: FencingTokens;
  /** Lease in milliseconds that a renewal grants, and the longest that a worker keeps. */
  readonly leaseMs?: number;
  readonly maxLeaseMs?: number;
  /** Time in milliseconds for which a call without an answer may still be carried out. */
  readonly lateOrderMs?: number;
  /** Whether the worker's lease may be extended, which requires a recent renewal of the leader's own lease. */
  readonly mayExtendLease: () => boolean;
  /** Whether a successor would take the worker's lease for expired because it was silent; it gets no work then. */
  readonly isRecordedSilent?: () => boolean;
  /** The session with the incarnation that was found in place of this one, opened if there is none. */
  readonly openSuccessor: (session: WorkerSession, born: number) => WorkerSession;
  /** Latest end of a lease that a previous leader may have granted, on this host's monotonic clock. */
  readonly inheritedLeaseUntil: () => number;
  /** Applies the end of a run; resolves to true once it is durable, to false if it never will be. */
  readonly onEnd: (
    session: WorkerSession,
    run: Run,
    end: RunEnd,
    checkpoint: string,
  ) => Promise<boolean>;
  /** Learns from a run that is done; returns the work that it showed in milliseconds, undefined if it showed none. */
  readonly learnEnd?: (run: Run) => number | undefined;
  /** Called when a report, made at `clockMs` on the worker's clock, has updated the progress of runs. */
  readonly onReport: (session: WorkerSession, clockMs: number) => void;
  /** Called when the worker has refused the ticket of a start. */
  readonly onTicketRefused: (run: Run) => void;
  /** Time in milliseconds during which this process was able to receive answers; see `responsive-clock.ts`. */
  readonly responsiveNow: () => number;
  /** Milliseconds within which an order that is sent now has to reach the worker, 0 if none may be; no limit by default. */
  readonly startWindowMs?: (session: WorkerSession) => number;
  /** Called when a worker has seen a token of a later epoch. */
  readonly onStaleEpoch: (worker: string) => void;
  readonly onChange: () => void;
}

export interface WorkerSession {
  readonly incarnation: WorkerIncarnation;
  readonly worker: FleetWorker;
  /**
   * Asks before the first report is applied, which was requested at `requestedAt`, whether it shows that this incarnation
   * is the present one. If not, the report is dropped and requested again.
   */
  setConfirmation(isPresent: (requestedAt: number) => boolean): void;
  /** Monotonic time of the last report of this incarnation; minus infinity before the first. */
  readonly answeredAt: number;
  /** Applies a changed entry of the same incarnation. */
  update(worker: FleetWorker): void;
  readonly runs: Map<string, Run>;
  readonly used: Resources;
  /** Whether the worker has answered this leader, after which it refuses orders of previous leaders. */
  readonly confirmed: boolean;
  /**
   * Milliseconds until the lease has certainly expired, if the worker has been silent for some time; undefined if it
   * answers or has no runs.
   */
  readonly silentLeaseLeftMs: number | undefined;
  /** Whether the worker answers renewals and can be given work. */
  readonly reachable: boolean;
  readonly ended: boolean;
  /** Whether an end that the worker has listed is not durable yet. */
  readonly hasUnacknowledged: boolean;
  /**
   * Starts to renew the worker's lease. All inherited runs must be attached before, because an unknown run is stopped
   * and its end is dropped.
   */
  startRenewals(): void;
  attach(run: Run): void;
  start(run: Run, spec: string, ticket: string | undefined): Promise<void>;
  stop(run: Run, reason: string): void;
  /** Ends a run whose order was never sent. */
  withdraw(run: Run): void;
  /** Takes over a run whose start may have reached this incarnation instead of an earlier one of the worker. */
  adopt(run: Run): void;
  /**
   * Lets calls to this incarnation carry a later token than the given one, with which an earlier one was called. Those
   * calls may still arrive until the given monotonic time.
   */
  outrank(fencingToken: number, underWayUntil: number): void;
  /** Ends the incarnation. Runs that may have reached its successor are handed over, all others are lost. */
  end(reason: string, successor: WorkerSession): void;
  /** Applies an end that a former leader has read from this incarnation. */
  applyReported(end: ReportedEnd): void;
  /**
   * Sends no more orders and extends no lease, because another host leads, but goes on reading the ends of runs until
   * the worker has seen the other leader.
   */
  observe(): void;
  /** Stops calling the worker and leaves its runs as they are. */
  close(): void;
}
