/**
 * Adopts journal segments whose owner is dead. The write that changes the owner is conditional on
 * the version that was read, so exactly one of several adopting hosts succeeds.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Log } from '../log/index.js';
import type { Store, StoreError, VersionedValue } from '../platform/index.js';
import { encodeJob, type JobRecord } from './job-record.js';
import {
  decodeSegment,
  writeSegment,
  type SegmentRef,
  type RetryOptions,
} from './write-segment.js';

export interface AdoptionOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly owner: string;
  readonly retries: RetryOptions;
  readonly log: Log;
  readonly isDead: (owner: string) => boolean;
  /** Whether this process already has the segment. */
  readonly hasSegment: (key: string) => boolean;
  /**
   * Adds an adopted segment and returns its jobs, except those that another segment contains too.
   */
  readonly addSegment: (place: SegmentRef, jobs: readonly JobRecord[]) => readonly JobRecord[];
}

/** Adopts all segments of dead owners and returns their jobs that have not ended. */
export async function adoptSegments(
  options: AdoptionOptions,
): Promise<Result<readonly JobRecord[], StoreError>> {
  const listed = await options.store.list(options.prefix);
  if (listed.isErr()) return err(listed.error);
  const adopted: JobRecord[] = [];
  for (const [key, found] of listed.value) {
    if (!options.hasSegment(key)) adopted.push(...(await adoptSegment(options, key, found)));
  }
  return ok(adopted.filter((job) => job.state !== 'ended'));
}

async function adoptSegment(
  options: AdoptionOptions,
  key: string,
  found: VersionedValue,
): Promise<readonly JobRecord[]> {
  const { owner, log } = options;
  const segment = decodeSegment(found.value);
  if (segment === undefined) {
    log.error(`${key} is not a valid journal segment; remove or repair it.`);
    return [];
  }
  // A segment of this owner that this process does not have was released to it by a peer, or was
  // adopted by a write whose result was in doubt.
  if (segment.owner !== owner && !options.isDead(segment.owner)) return [];
  const place = { key, version: found.version, owner: segment.owner, epoch: segment.epoch };
  const epoch = segment.epoch + 1;
  const jobs = segment.jobs.map(encodeJob);
  const result = await writeSegment(
    options.store,
    place,
    { owner, epoch, jobs, isOwner: false },
    options.retries,
  );
  if (result.kind !== 'written') {
    log.info(`Could not adopt ${key}.`, { result: result.kind });
    return [];
  }
  return options.addSegment({ key, version: result.version, owner, epoch }, segment.jobs);
}
