/**
 * Adoption of values whose owner is dead. The write that changes the owner is conditional on the
 * version that was read, so that one of several adopting hosts succeeds.
 */
import { err, ok, type Result } from 'neverthrow';
import type { Log } from '../log/index.js';
import type { Store, StoreError, VersionedValue } from '../platform/index.js';
import { encodeJob, type JobRecord } from './job-record.js';
import { decodeSegment, writeSegment, type Place, type Retries } from './write-segment.js';

export interface Adoption {
  readonly store: Store;
  readonly prefix: string;
  readonly owner: string;
  readonly retries: Retries;
  readonly log: Log;
  readonly isDead: (owner: string) => boolean;
  /** Whether this process has the value already. */
  readonly isKept: (key: string) => boolean;
  /** Keeps an adopted value and returns the jobs to go on with. */
  readonly keep: (place: Place, jobs: readonly JobRecord[]) => readonly JobRecord[];
}

/** Returns the jobs that have not ended. */
export async function adoptSegments(
  adoption: Adoption,
): Promise<Result<readonly JobRecord[], StoreError>> {
  const listed = await adoption.store.list(adoption.prefix);
  if (listed.isErr()) return err(listed.error);
  const adopted: JobRecord[] = [];
  for (const [key, found] of listed.value) {
    if (!adoption.isKept(key)) adopted.push(...(await adoptSegment(adoption, key, found)));
  }
  return ok(adopted.filter((job) => job.state !== 'ended'));
}

async function adoptSegment(
  adoption: Adoption,
  key: string,
  found: VersionedValue,
): Promise<readonly JobRecord[]> {
  const { owner, log } = adoption;
  const segment = decodeSegment(found.value);
  if (segment === undefined) {
    log.error(`${key} is not a record of the journal; remove or repair it.`);
    return [];
  }
  // A value of this owner that is not kept was released to it or adopted by a write in doubt.
  if (segment.owner !== owner && !adoption.isDead(segment.owner)) return [];
  const place = { key, version: found.version, owner: segment.owner, epoch: segment.epoch };
  const epoch = segment.epoch + 1;
  const jobs = segment.jobs.map(encodeJob);
  const result = await writeSegment(
    adoption.store,
    place,
    { owner, epoch, jobs, isOwner: false },
    adoption.retries,
  );
  if (result.kind !== 'written') {
    log.info(`Did not adopt ${key}.`, { result: result.kind });
    return [];
  }
  return adoption.keep({ key, version: result.version, owner, epoch }, segment.jobs);
}
