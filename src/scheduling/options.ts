/**
 * The interface of the scheduler and what it needs from the rest of the host.
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

/** A task that may start now; its worker and its team's allotment are charged. */
export interface Decision {
  readonly request: WorkRequest;
  /** Index of the task within its request. */
  readonly index: number;
  readonly task: TaskId;
  /** Id of the worker. */
  readonly worker: string;
  /** What the ledger holds for the task, for the start message. */
  readonly charged: RunningTask;
}

export interface Scheduler {
  /** Refuses work that fits no worker and work beyond the queue bounds. */
  enqueue(request: WorkRequest, options?: { task?: number }): Result<void, RefusedOutcome>;
  /** Removes a queued request in constant time; false if it is not queued. */
  cancel(team: string, id: string): boolean;
  next(): Decision | undefined;
  /** Call only once the task has certainly ended, else its worker is overcommitted. */
  finished(task: TaskId, worker: string): void;
  /** Removes and returns requests whose latest start has passed. */
  expire(): readonly WorkRequest[];
  setLedgers(ledgers: readonly Ledger[]): void;
  /** Removes and returns all queued requests. */
  drain(): readonly WorkRequest[];
  /** The queued gang that is served next; its tasks are placed with `reserve`. */
  waitingGang(): WorkRequest | undefined;
  /**
   * Charges ledgers and allotments for up to `count` tasks of a request that another host
   * coordinates, numbered from `firstTask`. Each decision is ended with `finished`.
   */
  reserve(request: WorkRequest, count: number, firstTask?: number): readonly Decision[];
  load(): LoadSummary;
  /** Queued requests by catalogue entry. */
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
  /** Owner (host and boot id) that new tasks are charged to. */
  readonly owner: string;
  /** Epoch of this host's claim of a worker. */
  readonly epoch: (worker: string) => number;
  readonly team: (name: string) => Team | undefined;
  /** Use of a team on other hosts, from heartbeats. */
  readonly remoteUsage: (team: string) => Resources;
  /** Capacity that the shares refer to. */
  readonly cell: () => Resources;
  readonly acquire: (team: string) => boolean;
  readonly release: (team: string, chargedTo: string) => void;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
  /** Teams that `load` names besides those with running or queued tasks. */
  readonly teamNames?: () => Iterable<string>;
  /** Most queued requests of one entry. */
  readonly maxQueued: (entry: string) => number;
  /** Most queued requests of one team in one class. */
  readonly maxQueuedPerTeam?: number;
  /** Workers that a request may run on anywhere; by default those of this host. */
  readonly workers?: () => readonly Worker[];
  readonly placements?: Partial<Record<WorkClass, PlacementPolicy>>;
  readonly order?: OrderingPolicy;
  /** `merged` gives the order the queues of all classes at once. */
  readonly classes?: 'urgent-first' | 'merged';
  readonly urgentShare?: number;
  readonly agingMs?: number;
  /** Requests of one queue that are looked at per decision. */
  readonly lookAhead?: number;
}
