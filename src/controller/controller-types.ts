/**
 * Interface of the scheduler for one leadership term, and what it needs from its host.
 */
import type { AdviceCaller } from '../advice/index.js';
import type { EvacuationSource, EvacuationState } from '../evacuations/index.js';
import type { WorkerConnection } from '../fleet/index.js';
import type { Job, JobState, ReportedEnd, WorkerIncarnation } from '../jobs/index.js';
import type { LeadershipTerm } from '../leadership/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { ConfigurationHolder } from '../queues/index.js';
import type { KeyValueStore, Reachability } from '../records/index.js';
import type { PlanningEffort } from './dispatcher.js';
import type { FleetSource } from './fleet-entries.js';
import type { SeenRecord } from './silent-workers.js';

export interface Controller {
  /** Continues the term with a lease that was reacquired without another leader in between. */
  updateTerm(term: LeadershipTerm): void;
  /** Called when the hosts that can call the advice service have changed. */
  handleCallersChanged(): void;
  /** Adds a job that a host has accepted `ageMs` ago and whose record is durable. */
  addAcceptedJob(job: Job, ageMs: number | undefined): void;
  /** Age in milliseconds of what this leader knows of the workers; infinite before it has read them. */
  readonly fleetAgeMs: number;
  /** Amount of work in the cell, and what planning has cost in this term. */
  describeLoad(): CellLoad;
  /** The evacuations in force; `unknown` until they are read, undefined on a deployment without evacuations. */
  describeEvacuations(): readonly EvacuationState[] | 'unknown' | undefined;
  /** Stops placement and waits until all progress is durable, before a planned stop. */
  quiesce(timeoutMs: number): Promise<void>;
  /** Ends the term, but goes on reporting ends of its runs to the successor, which may not reach their workers. */
  observeRuns(report: (end: ReportedEnd) => void): void;
  /** Applies an end that a former leader has read from a worker. */
  applyReportedEnd(end: ReportedEnd): void;
  close(): void;
}

export interface CellLoad extends PlanningEffort {
  readonly waitingSteps: number;
  readonly runs: number;
  readonly workers: number;
  readonly pendingWrites: number;
  /** Estimated bytes of memory of the jobs that have not ended. */
  readonly openBytes: number;
  /** Age of what this leader knows of the workers. */
  readonly fleetAgeMs: number;
  /** Age of what this leader knows of cancellations. */
  readonly cancellationsAgeMs: number;
  /** Age of what this leader knows of evacuations, on a deployment that has them. */
  readonly evacuationsAgeMs?: number;
}

export interface ControllerOptions {
  readonly store: KeyValueStore;
  readonly reachability: Reachability;
  readonly term: LeadershipTerm;
  readonly configuration: ConfigurationHolder;
  readonly fleet: FleetSource;
  /** Time after a worker's report that it leaves from which no task may be started on it. */
  readonly drainMs?: number;
  /** Time after an acknowledged cancellation from which no task of the job may be started. */
  readonly cancelMs?: number;
  /** By default, no data centres are evacuated. */
  readonly evacuations?: EvacuationSource;
  /** The longest lease that a worker keeps, in milliseconds. */
  readonly maxLeaseMs?: number;
  /** How many times as long work takes away from its place; if unset, work does not wait for its place. */
  readonly remoteFactor?: number | undefined;
  /** The most bytes of memory that open jobs may take up; by default a part of the heap. */
  readonly openBytesLimit?: number;
  readonly connect: (address: string, incarnation: WorkerIncarnation) => WorkerConnection;
  readonly callers: () => readonly AdviceCaller[];
  /** What this host has seen of the record of silent workers. */
  readonly silentWorkersSeen?: SeenRecord | undefined;
  /** Monotonic milliseconds of the last confirmed renewal of the leader's lease. */
  readonly renewedAt: () => number | undefined;
  readonly onLeadershipLost: (reason: string) => void;
  readonly onLeaderKeyMissing: () => void;
  /** Called with the revision of the configuration under which a host has accepted a job. */
  readonly onConfigurationRevision?: (revision: number) => void;
  /** Announces the final state, whose record is durable, to the host that accepted the job. */
  readonly announceEnd: (job: Job, state: JobState) => void;
  readonly events: EventLog;
  readonly meters: Meters;
}
