/**
 * What entry hosts tell each other periodically: their state, the configuration revision in force
 * and a summary of their load.
 */
import type { Fleet, Host, Resources, WorkClass, Worker } from '../model/index.js';

/** Use of one team on one entry host. */
export interface TeamLoad {
  /** Tasks running. */
  readonly running: number;
  readonly used: Resources;
  /** Tasks that the host may still start under its allotment. */
  readonly spare: number;
}

/** What an entry host has to offer and how long its queues are. */
export interface LoadSummary {
  readonly freeSlots: number;
  readonly free: Resources;
  /** Free resources of the worker with most room. */
  readonly largestFree: Resources;
  /** Capacity of all workers that the host holds. */
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
  /** Age of the last successful call to the store, own or learnt from a peer, in milliseconds. */
  readonly storeContactAgeMs: number;
  /** Whether this host's own last call to the store succeeded. */
  readonly storeReachable: boolean;
  readonly load: LoadSummary;
}

/** This host's view of the fleet. */
export interface Membership {
  recordHeartbeat(heartbeat: Heartbeat): void;
  /** Takes over the platform's host list; hosts from the settings stay known. */
  setFleet(fleet: Fleet): void;
  /** Marks this host as leaving, so that `live` no longer contains it. */
  leave(): void;
  /** Hosts heard from within the suspicion timeout and not leaving. */
  live(dataCentre?: string): readonly string[];
  heartbeat(host: string): Heartbeat | undefined;
  /** All known hosts, live or not, this one included. */
  hosts(): readonly Host[];
  /** All known data centres, sorted. */
  dataCentres(): readonly string[];
  workers(dataCentre: string): readonly Worker[];
}
