/**
 * Applies the workers' entries in the store to the sessions. An entry that cannot be decoded names no worker to use, and
 * the others hold.
 */
import type { FleetWorker } from '../fleet/index.js';
import { createEntryReader } from '../observability/index.js';
import type { DecodedEntry, EventLog, Meters } from '../observability/index.js';
import type { StoreChange, StoreEntry } from '../records/index.js';
import type { FleetSessions } from './fleet-sessions.js';

/** Key prefix of the workers' entries and their decoder. */
export interface FleetSource {
  readonly prefix: string;
  readonly decode: (key: string, text: string) => FleetWorker | undefined;
}

export interface FleetEntries {
  /** Applies a complete listing of the entries. */
  applyListing(entries: readonly StoreEntry[]): void;
  applyChange(change: StoreChange): void;
}

export interface FleetEntriesOptions {
  readonly fleet: FleetSource;
  readonly sessions: FleetSessions;
  readonly events: EventLog;
  readonly meters: Meters;
}

export function createFleetEntries({
  fleet,
  sessions,
  events,
  meters,
}: FleetEntriesOptions): FleetEntries {
  const reader = createEntryReader({
    prefix: fleet.prefix,
    event: 'worker-entry-unreadable',
    events,
    meters,
  });
  const idOf = (key: string) => key.slice(fleet.prefix.length);
  const decode = (entry: DecodedEntry) =>
    reader.read(entry, (text) => fleet.decode(entry.key, text));

  return {
    applyListing: (entries) => {
      const workers = new Map<string, FleetWorker>();
      const unreadable = new Set<string>();
      for (const entry of entries) {
        const worker = decode(entry);
        if (worker === undefined) unreadable.add(idOf(entry.key));
        else workers.set(worker.incarnation.id, { ...worker, revision: entry.revision });
      }
      sessions.replace(workers, unreadable);
    },
    applyChange: ({ key, value, revision }) => {
      if (value === undefined) {
        sessions.update(idOf(key), undefined);
        return;
      }
      const worker = decode({ key, value, revision });
      if (worker === undefined) sessions.markUnreadable(idOf(key));
      else sessions.update(idOf(key), { ...worker, revision });
    },
  };
}
