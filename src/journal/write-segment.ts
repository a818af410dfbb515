/**
 * Writes one segment of the journal. Only the owner writes a segment, so a write in doubt is
 * resolved by writing again: the second write either finds the result of the first one or replaces
 * it.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { decodeRecord, encodeRecord, type Store, type VersionedValue } from '../platform/index.js';
import { keyOfJob, parseSegment, type EncodedJob, type StoredSegment } from './job-record.js';

/** Owner and epoch of a segment. */
export interface SegmentHeader {
  readonly owner: string;
  readonly epoch: number;
}

/** Key, header and version of a segment as last known to this process. */
export interface SegmentRef extends SegmentHeader {
  readonly key: string;
  /** 0 if the segment has not been written yet. */
  readonly version: number;
}

/**
 * `not-written`: the write certainly had no effect. `in-doubt`: the segment may contain the written
 * or the former jobs.
 */
export type WriteResult =
  | { readonly kind: 'written' | 'not-written' | 'in-doubt'; readonly version: number }
  /** Another host owns the segment, which contains these jobs. */
  | { readonly kind: 'lost'; readonly jobs: ReadonlySet<string> };

/** How often a write in doubt is tried and how long to wait in between. */
export interface RetryOptions {
  readonly attempts: number;
  /** Delay before the first retry. It doubles with each further retry. */
  readonly delayMs: number;
}

/** The header and jobs to write. */
export interface SegmentUpdate extends SegmentHeader {
  readonly jobs: readonly EncodedJob[];
  /**
   * Whether this process owned the segment before, so that its jobs are newer than those of any
   * write under the same header. An adopting host must not overwrite what the former owner has
   * added.
   */
  readonly isOwner: boolean;
}

export async function writeSegment(
  store: Store,
  place: SegmentRef,
  change: SegmentUpdate,
  retries: RetryOptions,
): Promise<WriteResult> {
  const texts = new Set<string>();
  let { version } = place;
  let inDoubt = false;
  for (let attempt = 0; attempt < retries.attempts; attempt += 1) {
    if (attempt > 0) await delay(retries.delayMs * 2 ** (attempt - 1));
    const { owner, epoch, jobs } = change;
    const text = encodeRecord({ owner, epoch, jobs }, randomUUID());
    texts.add(text);
    const result = await store.compareAndSwap(place.key, version, text);
    if (result.isOk()) return { kind: 'written', version: result.value };
    if (result.error.kind === 'unavailable') {
      if (!inDoubt) return { kind: 'not-written', version };
      continue;
    }
    inDoubt ||= result.error.kind === 'in-doubt';
    const found = await store.get(place.key);
    if (found.isErr()) continue;
    const interpreted = interpretStored(found.value, { place, version, change, texts });
    if (interpreted.kind !== 'not-written') return interpreted;
    version = interpreted.version;
  }
  return { kind: inDoubt ? 'in-doubt' : 'not-written', version };
}

interface AttemptedWrite {
  readonly place: SegmentRef;
  readonly version: number;
  readonly change: SegmentUpdate;
  readonly texts: ReadonlySet<string>;
}

/** Determines the result of the writes attempted so far from the stored value. */
function interpretStored(found: VersionedValue | undefined, attempted: AttemptedWrite): WriteResult {
  const { place, version, change, texts } = attempted;
  if (found === undefined) {
    return version === 0 ? { kind: 'not-written', version } : { kind: 'lost', jobs: new Set() };
  }
  if (texts.has(found.value)) return { kind: 'written', version: found.version };
  if (found.version === version) return { kind: 'not-written', version };
  const segment = decodeSegment(found.value);
  if (segment === undefined) return { kind: 'lost', jobs: new Set() };
  // An earlier write in doubt has taken effect. The next attempt overwrites it.
  if (change.isOwner && isSameHeader(segment, place))
    return { kind: 'not-written', version: found.version };
  // The segment was transferred, and its new owner has already written it.
  if (isSameHeader(segment, change)) return { kind: 'written', version: found.version };
  return { kind: 'lost', jobs: new Set(segment.jobs.map(keyOfJob)) };
}

/** Decodes a stored segment. Returns undefined if the text is not one. */
export function decodeSegment(text: string): StoredSegment | undefined {
  try {
    return decodeRecord(text, parseSegment);
  } catch {
    return undefined;
  }
}

function isSameHeader(left: SegmentHeader, right: SegmentHeader): boolean {
  return left.owner === right.owner && left.epoch === right.epoch;
}
