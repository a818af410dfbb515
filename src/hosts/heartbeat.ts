/**
 * The heartbeats that entry hosts send each other periodically, with their state, the configuration
 * revision in force and a summary of their load.
 */
import type { Fleet, Host, Resources, WorkClass, Worker } from '../model/index.js';

/** Resource usage of one team on one entry host. */
export interface TeamLoad {
  /** Number of running tasks. */
  readonly running: number;
  readonly used: Resources;
  /** Tasks that the host may still start under its allotment. */
  readonly spare: number;
}

/** Free resources of the workers that an entry host holds, and the lengths of its queues. */
export interface LoadSummary {
  readonly freeSlots: number;
  readonly free: Resources;
  /** Free resources of the worker with the most free capacity. */
  readonly largestFree: Resources;
  /** Total capacity of the workers that the host holds. */
  readonly capacity: Resources;
  readonly queued: Readonly<Record<WorkClass, number>>;
  /** Age of the oldest queued interactive request, in milliseconds. */
  readonly waitMs: number;
  readonly teams: Readonly<Record<string, TeamLoad>>;
}

export interface Heartbeat {
  readonly host: string;
  readonly dataCentre: string;
  readonly bootId: string;
  readonly state: 'live' | 'leaving';
  /** Configuration revision in force; 0 before the first one. */
  readonly revision: number;
  /** Age of the last successful call to the store, by this host or known from a peer, in milliseconds. */
  readonly storeContactAgeMs: number;
  /** Whether this host's own last call to the store succeeded. */
  readonly storeReachable: boolean;
  readonly load: LoadSummary;
}

/** This host's view of the other hosts and of the fleet's workers. */
export interface Membership {
  recordHeartbeat(heartbeat: Heartbeat): void;
  /** Applies the platform's host list; hosts from the settings stay known. */
  setFleet(fleet: Fleet): void;
  /** Marks this host as leaving, so that `live` no longer contains it. */
  leave(): void;
  /** This host and the hosts heard from within the suspicion timeout, except those that are leaving. */
  live(dataCentre?: string): readonly string[];
  heartbeat(host: string): Heartbeat | undefined;
  /** All known hosts, live or not, this one included. */
  hosts(): readonly Host[];
  /** All known data centres, sorted. */
  dataCentres(): readonly string[];
  workers(dataCentre: string): readonly Worker[];
}
