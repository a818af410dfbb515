/**
 * One bucket of request ids on one host. One table holds both the ids that this host admitted as their
 * home and the copies that it keeps for another home, so that the copies are in place at a takeover.
 */
import { unknownOutcome } from '../model/index.js';
import type { RequestIdHomesOptions } from './homes-options.js';
import type { IdRecord, ServicePeriod } from './id-record.js';
import { createIdTable, type IdTable } from './id-table.js';

/** A period in which this host is the home of a bucket, under one epoch. */
export type OwnServicePeriod = ServicePeriod;

export interface Bucket {
  readonly number: number;
  readonly table: IdTable;
  /** Highest epoch seen; messages with a lower one are rejected. */
  epoch: number;
  /** Present while this host is the home. */
  service?: OwnServicePeriod | undefined;
  /** The last completed period as home; the table holds every id that was admitted in it. */
  lastService?: OwnServicePeriod | undefined;
}

/** Digest of an id whose copies have different digests: one of the requests was refused before it ran. */
const AMBIGUOUS_DIGEST = '';

export function createBucket(number: number, options: RequestIdHomesOptions): Bucket {
  const table = createIdTable({
    keepMs: options.maxIdAgeMs + options.maxClockSkewMs,
    onExpired: ({ local }) =>
      local?.end(unknownOutcome('The request is older than the ids that are remembered.')),
  });
  return { number, table, epoch: 0 };
}

/** Raises the highest epoch seen; a home with a lower epoch stops serving the bucket. */
export function raiseEpoch(bucket: Bucket, epoch: number): void {
  bucket.epoch = Math.max(bucket.epoch, epoch);
  if (bucket.service !== undefined && bucket.service.epoch < bucket.epoch) stopServing(bucket);
}

/** Ends this host's period as the home. */
export function stopServing(bucket: Bucket): void {
  bucket.lastService = bucket.service ?? bucket.lastService;
  bucket.service = undefined;
}

/** Stores a copy that was sent by the present home. */
export function storeCopy(bucket: Bucket, record: IdRecord): void {
  const known = bucket.table.get(record.team, record.id);
  if (known === undefined) bucket.table.set({ record });
  else if (known.local === undefined && !isOlderThan(record, known.record)) known.record = record;
}

/** Merges a record of another host during a takeover of the bucket. */
export function mergeRecord(bucket: Bucket, record: IdRecord): void {
  const known = bucket.table.get(record.team, record.id);
  if (known === undefined) {
    bucket.table.set({ record });
    return;
  }
  if (known.local !== undefined || known.record.outcome !== undefined) return;
  const isSame = known.record.digest === record.digest;
  if (isSame || record.outcome !== undefined) known.record = record;
  else known.record = { ...record, digest: AMBIGUOUS_DIGEST };
}

function isOlderThan(record: IdRecord, known: IdRecord): boolean {
  return (
    record.digest === known.digest && record.outcome === undefined && known.outcome !== undefined
  );
}
