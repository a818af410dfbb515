/**
 * Rows of the operators' tables. They cover all data centres that the answering host reaches.
 */
import type { Resources, WorkClass } from '../model/index.js';

/** A table, with the entry hosts that did not answer and whose rows are therefore missing. */
export interface Table<Row> {
  readonly rows: readonly Row[];
  readonly unreachable: readonly string[];
}

/** Requests of one catalogue entry that wait on one entry host. */
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
  /** The entry host that may start tasks on the worker; absent while nobody holds it. */
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
  /** Fraction of the cell that the weight amounts to among the teams with work. */
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
  /** Age of the last contact with the store, own or learnt from a peer, in milliseconds. */
  readonly storeContactAgeMs: number;
  /** Workers that the host holds. */
  readonly workers: number;
  readonly queued: number;
  /** Age of the oldest queued interactive request, in milliseconds. */
  readonly waitMs: number;
}

/** The revision that one entry host runs. */
export interface RolloutRow {
  readonly host: string;
  readonly revision: number;
  readonly reachable: boolean;
}

/** One event of the merged timeline. */
export interface TimelineRow {
  /** Hybrid logical time, which keeps causes before effects. */
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

/** Events must match every given field. */
export interface TimelineQuery {
  readonly request?: string;
  readonly team?: string;
  readonly worker?: string;
  readonly kind?: string;
  /** Earliest time of an event, in milliseconds since the epoch. */
  readonly since?: number;
}
