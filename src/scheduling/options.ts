/**
 * The interface of the scheduler and its dependencies on the rest of the host.
 */
import type { Result } from 'neverthrow';
import type { LoadSummary } from '../hosts/index.js';
import type {
  RefusedOutcome,
  Resources,
  TaskId,
  Team,
  WorkClass,
  Worker,
  WorkRequest,
} from '../model/index.js';
import type { HealthTracker, Ledger, RunningTask } from '../workers/index.js';
import type { OrderingPolicy } from './order.js';
import type { PlacementPolicy } from './placement.js';

/** A task to start now on a chosen worker; the worker and the team's allotment are charged. */
export interface Decision {
  readonly request: WorkRequest;
  /** Index of the task within its request. */
  readonly index: number;
  readonly task: TaskId;
  /** Id of the worker. */
  readonly worker: string;
  /** The task as charged in the worker's ledger, for the start message. */
  readonly charged: RunningTask;
}

export interface Scheduler {
  /** Refuses requests that can never fit and requests beyond the queue limits. */
  enqueue(request: WorkRequest, options?: { task?: number }): Result<void, RefusedOutcome>;
  /** Removes a queued request in constant time; false if it is not queued. */
  cancel(team: string, id: string): boolean;
  /** Selects and charges the next task to start, or undefined if none can start now. */
  next(): Decision | undefined;
  /** Call only once the task has certainly ended; otherwise its worker is overcommitted. */
  finished(task: TaskId, worker: string): void;
  /** Removes and returns requests whose latest start has passed. */
  expire(): readonly WorkRequest[];
  /** Replaces the workers that this host holds. */
  setLedgers(ledgers: readonly Ledger[]): void;
  /** Removes and returns all queued requests. */
  drain(): readonly WorkRequest[];
  /** The queued gang that is served next; its tasks are placed with `reserve`. */
  waitingGang(): WorkRequest | undefined;
  /**
   * Charges ledgers and allotments for up to `count` tasks of a request that another host
   * coordinates, numbered from `firstTask`. Call `finished` for each decision when its task ends.
   */
  reserve(request: WorkRequest, count: number, firstTask?: number): readonly Decision[];
  load(): LoadSummary;
  /** Queued requests by team and catalogue entry. */
  queued(): readonly EntryBacklog[];
}

/** Queued requests of one team and catalogue entry. */
export interface EntryBacklog {
  readonly team: string;
  readonly entry: string;
  readonly class: WorkClass;
  readonly queued: number;
  readonly oldestWaitMs: number;
}

export interface SchedulerOptions {
  readonly now: () => number;
  readonly random: () => number;
  readonly health: HealthTracker;
  /** Owner of the allotments (host and boot id) that new tasks are charged to. */
  readonly owner: string;
  /** Epoch of this host's claim on a worker. */
  readonly epoch: (worker: string) => number;
  readonly team: (name: string) => Team | undefined;
  /** Resources that a team uses through other hosts, from their heartbeats. */
  readonly remoteUsage: (team: string) => Resources;
  /** Capacity of the cell, of which shares are fractions. */
  readonly cell: () => Resources;
  /** Takes one task from the team's allotment; false if none is left. */
  readonly acquire: (team: string) => boolean;
  /** Returns one task to the owner that it was charged to. */
  readonly release: (team: string, chargedTo: string) => void;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
  /** Teams that `load` reports besides those with running tasks, if they may start tasks here. */
  readonly teamNames?: () => Iterable<string>;
  /** Maximum number of queued requests of one entry. */
  readonly maxQueued: (entry: string) => number;
  /** Maximum number of queued requests of one team in one class. */
  readonly maxQueuedPerTeam?: number;
  /** All workers that a request may run on, on any host; by default those of this host. */
  readonly workers?: () => readonly Worker[];
  readonly placements?: Partial<Record<WorkClass, PlacementPolicy>>;
  readonly order?: OrderingPolicy;
  /** `merged` passes the queues of all classes except `gang` to the ordering policy at once. */
  readonly classes?: 'urgent-first' | 'merged';
  /** Share of the starts that interactive work gets while deferrable work is queued too. */
  readonly urgentShare?: number;
  /** Waiting time after which deferrable work gets a larger share and may reserve a worker. */
  readonly agingMs?: number;
  /** Number of requests at the head of a queue that are considered per decision. */
  readonly lookAhead?: number;
}
