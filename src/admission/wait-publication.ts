/**
 * Decides when the leader writes the record of expected waits: when it has changed, again at intervals while it is not
 * empty, so that hosts can tell it from an old one, and not at all while no wait is long.
 */
import { isEmpty } from './wait-record.js';
import type { WaitRecord } from './wait-record.js';

/** Hosts use a record for 3 s, so one that does not change is still in force after a failed write. */
const REFRESH_MS = 800;

export interface WaitPublication {
  /** The record to write now; undefined if what was written last is still good. */
  next(content: Omit<WaitRecord, 'number'>): WaitRecord | undefined;
  /** Notes that the record was written. A record whose write failed is due again. */
  recordWritten(record: WaitRecord): void;
}

export function createWaitPublication({ now }: { readonly now: () => number }): WaitPublication {
  let number = 0;
  let written: { readonly content: string; readonly at: number } | undefined;

  return {
    next: (content) => {
      const isCalm = isEmpty(content);
      // What an earlier leader has left is of another term and too old to be used.
      if (isCalm && written === undefined) return undefined;
      const isUnchanged = written?.content === JSON.stringify(content);
      const isRecent = written !== undefined && now() - written.at < REFRESH_MS;
      if (isUnchanged && (isCalm || isRecent)) return undefined;
      return { ...content, number: number + 1 };
    },
    recordWritten: ({ number: used, ...content }) => {
      number = used;
      written = { content: JSON.stringify(content), at: now() };
    },
  };
}
