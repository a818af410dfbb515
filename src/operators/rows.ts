/**
 * Rows of the operators' tables, which cover all data centres that the responding host can reach.
 */
import type { Resources, WorkClass } from '../model/index.js';

/** A table, and the entry hosts whose rows are missing because they did not reply. */
export interface Table<Row> {
  readonly rows: readonly Row[];
  readonly unreachable: readonly string[];
}

/** Queued requests of one catalogue entry on one entry host. */
export interface QueueRow {
  readonly host: string;
  readonly dataCentre: string;
  readonly team: string;
  readonly entry: string;
  readonly class: WorkClass;
  readonly queued: number;
  /** Age of the oldest of them, in milliseconds. */
  readonly oldestWaitMs: number;
}

export interface WorkerRow {
  readonly worker: string;
  readonly dataCentre: string;
  readonly rack: string;
  /** The entry host that may start tasks on the worker; absent while no host holds the worker. */
  readonly holder?: string | undefined;
  readonly epoch: number;
  readonly state: 'live' | 'leaving' | 'unreachable';
  readonly health: 'healthy' | 'trial' | 'out';
  readonly running: number;
  readonly slots: number;
  readonly free: Resources;
  readonly capacity: Resources;
}

export interface TeamRow {
  readonly team: string;
  /** Weight in the configuration. */
  readonly share: number;
  /** Fraction of the cell that the team is entitled to by its weight, among the teams with work. */
  readonly fairShare: number;
  /** Fraction of the cell that the team uses, by its dominant resource. */
  readonly usedShare: number;
  readonly running: number;
  readonly limit: number;
  readonly queued: number;
}

export interface HostRow {
  readonly host: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly state: 'live' | 'leaving' | 'suspected';
  /** Configuration revision in force on the host. */
  readonly revision: number;
  readonly keysCurrent: boolean;
  readonly storeReachable: boolean;
  /** Age of the last known contact with the store, by this host or by a peer, in milliseconds. */
  readonly storeContactAgeMs: number;
  /** Workers that the host holds. */
  readonly workers: number;
  readonly queued: number;
  /** Age of the oldest queued interactive request, in milliseconds. */
  readonly waitMs: number;
}

/** The configuration revision that is in force on one entry host. */
export interface RolloutRow {
  readonly host: string;
  readonly revision: number;
  readonly reachable: boolean;
}

/** One event of the merged timeline. */
export interface TimelineRow {
  /** Hybrid logical time, which orders causes before their effects. */
  readonly at: { readonly ms: number; readonly counter: number };
  readonly host: string;
  readonly bootId: string;
  readonly sequence: number;
  readonly kind: string;
  readonly request?: string | undefined;
  readonly team?: string | undefined;
  readonly worker?: string | undefined;
  readonly detail?: string | undefined;
}

/** A filter for events, which must match every given field. */
export interface TimelineQuery {
  readonly request?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly kind?: string;
  /** Earliest time of an event, in milliseconds since the epoch. */
  readonly since?: number;
}
