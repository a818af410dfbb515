/**
 * Writing one value of the journal. Only the owner writes a value, so a write in doubt is settled by
 * writing again: the second write finds the version of the first, or takes its place.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import { decodeRecord, encodeRecord, type Store, type VersionedValue } from '../platform/index.js';
import { keyOfJob, parseSegment, type EncodedJob, type StoredSegment } from './job-record.js';

/** Owner and epoch of a value. */
export interface Header {
  readonly owner: string;
  readonly epoch: number;
}

/** A value as this process last knew it. */
export interface Place extends Header {
  readonly key: string;
  /** 0: not written yet. */
  readonly version: number;
}

/** `not-written` is certain; after `in-doubt` the value may hold the written or the former jobs. */
export type WriteResult =
  | { readonly kind: 'written' | 'not-written' | 'in-doubt'; readonly version: number }
  /** Another owner has the value, with these jobs. */
  | { readonly kind: 'lost'; readonly jobs: ReadonlySet<string> };

/** How often and how fast a write in doubt is tried. */
export interface Retries {
  readonly attempts: number;
  /** Wait before the first repetition; it doubles with each. */
  readonly delayMs: number;
}

/** The header and the jobs to write. */
export interface Change extends Header {
  readonly jobs: readonly EncodedJob[];
  /**
   * Whether this process owned the value before, so that its jobs are newer than those of any write
   * under the same header. An adopting host must not overwrite what the former owner has added.
   */
  readonly isOwner: boolean;
}

export async function writeSegment(
  store: Store,
  place: Place,
  change: Change,
  retries: Retries,
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
    const verdict = judge(found.value, { place, version, change, texts });
    if (verdict.kind !== 'not-written') return verdict;
    version = verdict.version;
  }
  return { kind: inDoubt ? 'in-doubt' : 'not-written', version };
}

interface Attempted {
  readonly place: Place;
  readonly version: number;
  readonly change: Change;
  readonly texts: ReadonlySet<string>;
}

/** What the value in the store says about the writes attempted so far. */
function judge(found: VersionedValue | undefined, attempted: Attempted): WriteResult {
  const { place, version, change, texts } = attempted;
  if (found === undefined) {
    return version === 0 ? { kind: 'not-written', version } : { kind: 'lost', jobs: new Set() };
  }
  if (texts.has(found.value)) return { kind: 'written', version: found.version };
  if (found.version === version) return { kind: 'not-written', version };
  const segment = decodeSegment(found.value);
  if (segment === undefined) return { kind: 'lost', jobs: new Set() };
  // An earlier write in doubt has taken effect; this one goes on top of it.
  if (change.isOwner && isSameHeader(segment, place))
    return { kind: 'not-written', version: found.version };
  // The value was handed over, and its new owner has already written it.
  if (isSameHeader(segment, change)) return { kind: 'written', version: found.version };
  return { kind: 'lost', jobs: new Set(segment.jobs.map(keyOfJob)) };
}

/** Undefined if the value is not one of the journal. */
export function decodeSegment(text: string): StoredSegment | undefined {
  try {
    return decodeRecord(text, parseSegment);
  } catch {
    return undefined;
  }
}

function isSameHeader(left: Header, right: Header): boolean {
  return left.owner === right.owner && left.epoch === right.epoch;
}
