/**
 * Applies the workers' entries in the store to the sessions. An entry that cannot be decoded names no worker to use, and
 * the others hold.
 */
import type { FleetWorker } from '../fleet/index.js';
import { createEntryReader } from '../observability/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { StoreChange, StoreEntry } from '../records/index.js';
import type { FleetSessions } from './fleet-sessions.js';

/** Key prefix of the workers' entries and their decoder. */
export interface FleetSource {
  readonly prefix: string;
  readonly decode: (key: string, text: string) => FleetWorker | undefined;
}

export interface FleetEntries {
  /** Applies a complete listing of the entries. */
  readonly applyListing: (entries: readonly StoreEntry[]) => void;
  readonly applyChange: (change: StoreChange) => void;
}

export interface FleetEntriesOptions {
  readonly fleet: FleetSource;
  readonly sessions: FleetSessions;
  readonly events: EventLog;
  readonly meters: Meters;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

export function createFleetEntries({
  fleet,
  sessions,
  events,
  meters,
  now = () => performance.now(),
}: FleetEntriesOptions): FleetEntries {
  const reader = createEntryReader({
    prefix: fleet.prefix,
    event: 'worker-entry-unreadable',
    events,
    meters,
  });
  const idOf = (key: string) => key.slice(fleet.prefix.length);
  /** Until when workers are cold, by their id, with the revision of the entry that says so. */
  const cold = new Map<string, { readonly revision: number; readonly until: number }>();

  function decode(entry: StoreEntry): FleetWorker | undefined {
    const { revision } = entry;
    const worker = reader.read(entry, (text) => fleet.decode(entry.key, text));
    if (worker === undefined) return undefined;
    return { ...worker, revision, coldUntil: findColdUntil(worker, revision) };
  }

  /** An entry that is listed again says how long its worker was cold when the entry was written, not from now on. */
  function findColdUntil({ incarnation, coldRemainingMs = 0 }: FleetWorker, revision: number) {
    const { id } = incarnation;
    if (coldRemainingMs <= 0) {
      cold.delete(id);
      return undefined;
    }
    let known = cold.get(id);
    if (known?.revision !== revision) {
      known = { revision, until: now() + coldRemainingMs };
      cold.set(id, known);
    }
    return known.until;
  }

  return {
    applyListing: (entries) => {
      const workers = new Map<string, FleetWorker>();
      const unreadable = new Set<string>();
      for (const entry of entries) {
        const worker = decode(entry);
        if (worker === undefined) unreadable.add(idOf(entry.key));
        else workers.set(worker.incarnation.id, worker);
      }
      for (const id of cold.keys()) if (!workers.has(id)) cold.delete(id);
      sessions.replace(workers, unreadable);
    },
    applyChange: ({ key, value, revision }) => {
      if (value === undefined) {
        cold.delete(idOf(key));
        sessions.update(idOf(key), undefined);
        return;
      }
      const worker = decode({ key, value, revision });
      if (worker === undefined) sessions.markUnreadable(idOf(key));
      else sessions.update(idOf(key), worker);
    },
  };
}
