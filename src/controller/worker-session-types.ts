/**
 * What a session with a worker offers to the controller, and what it needs from it.
 */
import type { FleetWorker, WorkerConnection } from '../fleet/index.js';
import type { WorkerIncarnation } from '../jobs/index.js';
import type { Resources } from '../model/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { Run, RunEnd } from './run.js';

export interface WorkerSessionOptions {
  readonly worker: FleetWorker;
  readonly connect: (address: string, life: WorkerIncarnation) => WorkerConnection;
  readonly events: EventLog;
  readonly meters: Meters;
  readonly epoch: number;
  /** Whether leases may be extended: this host leads as far as it can know. */
  readonly mayExtendLeases: () => boolean;
  /** Bound of the lease that a former leader may have given, on this host's clock. */
  readonly inheritedLeaseUntil: number;
  /** Applies an end and resolves when it is durable; to false if it never will be. */
  readonly onEnd: (
    session: WorkerSession,
    run: Run,
    end: RunEnd,
    checkpoint: string,
  ) => Promise<boolean>;
  /** Progress of runs was reported. */
  readonly onReport: (session: WorkerSession) => void;
  /** A worker has seen a higher epoch. */
  readonly onStaleEpoch: (worker: string) => void;
  readonly onChange: () => void;
}

export interface WorkerSession {
  readonly incarnation: WorkerIncarnation;
  readonly worker: FleetWorker;
  /** Takes over a changed entry of the same life. */
  update(worker: FleetWorker): void;
  readonly runs: Map<string, Run>;
  readonly used: Resources;
  /** The worker has answered this leader, so that no order of a former one can succeed any more. */
  readonly confirmed: boolean;
  /** Answers renewals and may get work. */
  readonly reachable: boolean;
  readonly ended: boolean;
  /**
   * Starts calling the worker. Before this, all runs of a former leader must be attached: a run that is
   * not known would be stopped and its end dropped.
   */
  startRenewals(): void;
  attach(run: Run): void;
  start(run: Run, spec: string, ticket: string | undefined): Promise<void>;
  stop(run: Run, reason: string): void;
  /** Ends a run that was never ordered. */
  withdraw(run: Run): void;
  /** The life is over, for instance because another one took its place. */
  end(reason: string): void;
  /** Stops calling without a statement about the runs. */
  close(): void;
}
