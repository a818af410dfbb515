/**
 * One bucket of request ids on one host. The same table holds the ids that this host decided about
 * as their home and the copies that it keeps for another home, so that a takeover finds the copies
 * in place.
 */
import { unknownOutcome } from '../model/index.js';
import type { RequestIdHomesOptions } from './homes-options.js';
import type { IdRecord, ServicePeriod } from './id-record.js';
import { createIdTable, type IdTable } from './id-table.js';

/** This host's time as the home of a bucket under one epoch. */
export type OwnServicePeriod = ServicePeriod;

export interface Bucket {
  readonly number: number;
  readonly table: IdTable;
  /** Highest epoch seen. Lower ones are refused. */
  epoch: number;
  /** Present while this host is the home. */
  service?: OwnServicePeriod | undefined;
  /** The last time as home that has ended; the table holds every id that it admitted. */
  lastService?: OwnServicePeriod | undefined;
}

/** Digest of an id whose copies disagree: one of them was refused before it ran. */
const AMBIGUOUS_DIGEST = '';

export function createBucket(number: number, options: RequestIdHomesOptions): Bucket {
  const table = createIdTable({
    keepMs: options.maxIdAgeMs + options.maxClockSkewMs,
    onForget: ({ local }) =>
      local?.end(unknownOutcome('The request is older than the ids that are remembered.')),
  });
  return { number, table, epoch: 0 };
}

/** Notes an epoch; a home under a lower one stops serving. */
export function raiseEpoch(bucket: Bucket, epoch: number): void {
  bucket.epoch = Math.max(bucket.epoch, epoch);
  if (bucket.service !== undefined && bucket.service.epoch < bucket.epoch) stopServing(bucket);
}

/** Stops being the home. */
export function stopServing(bucket: Bucket): void {
  bucket.lastService = bucket.service ?? bucket.lastService;
  bucket.service = undefined;
}

/** Keeps a copy that the present home sends. */
export function storeCopy(bucket: Bucket, record: IdRecord): void {
  const known = bucket.table.get(record.team, record.id);
  if (known === undefined) bucket.table.set({ record });
  else if (known.local === undefined && !isOlderThan(record, known.record)) known.record = record;
}

/** Merges a record that another host had when the bucket was taken over. */
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
