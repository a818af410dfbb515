/**
 * Decodes entries of the store that may come from another writer. One that cannot be decoded is left out by itself; it
 * is counted and logged once, and not again at each listing, read or change until it can be decoded.
 */
import type { EventLog } from './event-log.js';
import { describeError } from './fault-containment.js';
import type { Meters } from './meters.js';

export interface DecodedEntry {
  readonly key: string;
  readonly value: string;
  readonly revision?: number;
}

export interface EntryReader {
  /** Decodes an entry; undefined, also after an error of the decoder, if it cannot be used. */
  readonly read: <Decoded>(
    entry: DecodedEntry,
    decode: (value: string) => Decoded | undefined,
  ) => Decoded | undefined;
}

export interface EntryReaderOptions {
  /** Common prefix of the keys; label of the metric. */
  readonly prefix: string;
  /** Name of the line in the log. */
  readonly event: string;
  readonly events: EventLog;
  readonly meters?: Pick<Meters, 'unreadableEntries'> | undefined;
}

/** Bound of the keys that are remembered; further entries are counted, but not logged. */
const MAX_REMEMBERED = 1000;

export function createEntryReader(options: EntryReaderOptions): EntryReader {
  const { prefix, event, events, meters } = options;
  const unreadable = new Set<string>();

  function report({ key, value, revision }: DecodedEntry, cause: string) {
    if (unreadable.has(key)) return;
    meters?.unreadableEntries.inc({ prefix });
    if (unreadable.size >= MAX_REMEMBERED) return;
    unreadable.add(key);
    events.error(event, { key, revision, length: value.length, cause });
  }

  return {
    read: (entry, decode) => {
      try {
        const decoded = decode(entry.value);
        if (decoded === undefined) report(entry, 'the value is not valid');
        else unreadable.delete(entry.key);
        return decoded;
      } catch (error) {
        report(entry, describeError(error));
        return undefined;
      }
    },
  };
}
