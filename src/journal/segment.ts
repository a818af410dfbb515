/**
 * One segment of the journal: a stored value with up to 64 jobs of one owner. Edits made in the
 * same turn of the event loop or during a write are batched into one write.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { Store, StoreError } from '../platform/index.js';
import { encodeJob, type EncodedJob, type JobRecord } from './job-record.js';
import {
  writeSegment,
  type SegmentRef,
  type RetryOptions,
  type WriteResult,
} from './write-segment.js';

export interface SegmentOptions {
  readonly store: Store;
  readonly batchDelayMs: number;
  /** Maximum delay until a change that no caller waits for is written. */
  readonly lazyWriteDelayMs: number;
  readonly retries: RetryOptions;
  readonly maxJobs: number;
  readonly maxBytes: number;
  /**
   * Called with the jobs that had not ended when another host has become the owner of the segment.
   */
  readonly onLost: (segment: Segment, jobs: readonly JobRecord[]) => void;
}

/** A change of one job whose caller waits until it is written. */
export interface JobEdit {
  readonly key: string;
  readonly next: JobRecord;
  /** Whether the segment did not contain the job before. */
  readonly isNew: boolean;
  /** Returns the job to restore if the write fails, or undefined to remove it. */
  readonly undo: (current: JobRecord) => JobRecord | undefined;
}

export interface Segment {
  readonly key: string;
  get(key: string): JobRecord | undefined;
  jobs(): readonly JobRecord[];
  /** Whether a job of this size can be added, or can replace the job with this key. */
  fits(bytes: number, key?: string): boolean;
  isWriting(): boolean;
  /** Applies a change and resolves when its write has succeeded, failed or remained in doubt. */
  edit(edit: JobEdit): Promise<Result<void, StoreError>>;
  /** Applies a change that is written later; undefined removes the job. */
  editLazily(key: string, next: JobRecord | undefined): void;
  /** Writes all pending changes. */
  flush(): Promise<void>;
  /** Transfers the segment to another owner. */
  transfer(owner: string): Promise<Result<void, StoreError>>;
  /** Removes the segment from the store. Returns whether it no longer exists. */
  remove(): Promise<boolean>;
}

const MAX_RETRY_DELAY_MS = 5000;
/** Space reserved for the owner, epoch, write id and punctuation around the jobs of a segment. */
const ENVELOPE_BYTES = 512;

interface PendingEdit extends JobEdit {
  readonly settle: (result: Result<void, StoreError>) => void;
}

interface JobEntry {
  readonly job: JobRecord;
  readonly encoded: EncodedJob;
  readonly bytes: number;
}

export function createSegment(
  options: SegmentOptions,
  place: SegmentRef,
  initial: readonly (readonly [string, JobRecord])[],
): Segment {
  const entries = new Map<string, JobEntry>(initial.map(([key, job]) => [key, createEntry(job)]));
  const timer = createTimer(() => void startWriting());
  let bytes = [...entries.values()].reduce((sum, job) => sum + job.bytes, ENVELOPE_BYTES);
  let { version } = place;
  let pending: PendingEdit[] = [];
  let running: Promise<void> | undefined;
  /** `closing`: being transferred or removed. `gone`: no longer owned by this process. */
  let state: 'open' | 'closing' | 'gone' = 'open';
  let isDirty = false;
  let failures = 0;

  function setJob(key: string, job: JobRecord | undefined): void {
    bytes -= entries.get(key)?.bytes ?? 0;
    entries.delete(key);
    if (job === undefined) return;
    const next = createEntry(job);
    bytes += next.bytes;
    entries.set(key, next);
  }

  function write(owner = place.owner, epoch = place.epoch): Promise<WriteResult> {
    const jobs = [...entries.values()].map(({ encoded }) => encoded);
    return writeSegment(
      options.store,
      { ...place, version },
      { owner, epoch, jobs, isOwner: true },
      options.retries,
    );
  }

  function startWriting(): Promise<void> {
    running ??= writePending().finally(() => {
      running = undefined;
      if (!isDirty || state === 'gone') return;
      timer.schedule(Math.min(options.lazyWriteDelayMs * 2 ** failures, MAX_RETRY_DELAY_MS), true);
    });
    return running;
  }

  async function writePending(): Promise<void> {
    timer.cancel();
    do {
      const batch = pending;
      pending = [];
      const wasDirty = isDirty;
      isDirty = false;
      const result = await write();
      failures = result.kind === 'written' ? 0 : failures + 1;
      if (result.kind !== 'written') isDirty ||= wasDirty || result.kind === 'in-doubt';
      settleEdits(batch, result);
    } while (pending.length > 0);
  }

  function settleEdits(batch: readonly PendingEdit[], result: WriteResult): void {
    if (result.kind !== 'lost') version = result.version;
    // In reverse order, so that a job with several edits returns to its first state.
    for (const edit of [...batch].reverse()) {
      const error = toStoreError(result, edit);
      if (error !== undefined) undo(edit);
      edit.settle(error === undefined ? ok() : err(error));
    }
    if (result.kind === 'lost') markLost();
  }

  function undo(edit: PendingEdit): void {
    const current = entries.get(edit.key);
    if (current !== undefined) setJob(edit.key, edit.undo(current.job));
  }

  function markLost(): void {
    if (state === 'gone') return;
    state = 'gone';
    const unsettled = pending;
    pending = [];
    for (const edit of unsettled.reverse()) {
      undo(edit);
      edit.settle(err(notOwnerError()));
    }
    options.onLost(
      segment,
      listJobs().filter((job) => job.state !== 'ended'),
    );
  }

  function listJobs(): readonly JobRecord[] {
    return [...entries.values()].map(({ job }) => job);
  }

  /** Rejects further edits and waits for pending writes. */
  async function close(): Promise<void> {
    state = 'closing';
    timer.cancel();
    if (pending.length > 0) await startWriting();
    await running;
  }

  async function transfer(owner: string): Promise<Result<void, StoreError>> {
    await close();
    if (isGone()) return err(notOwnerError());
    const result = await write(owner, place.epoch + 1);
    if (result.kind === 'lost') {
      markLost();
      return err(notOwnerError());
    }
    state = result.kind === 'written' ? 'gone' : 'open';
    version = result.version;
    if (result.kind === 'written') return ok();
    // The next write finds out who owns the segment.
    isDirty ||= result.kind === 'in-doubt';
    if (isDirty) timer.schedule(options.lazyWriteDelayMs, true);
    return err(toStoreError(result) ?? notOwnerError());
  }

  async function remove(): Promise<boolean> {
    await close();
    if (isGone()) return true;
    const isUnwritten = version === 0 && !isDirty;
    const isRemoved =
      isUnwritten || (await options.store.remove(place.key, version)).isOk() || (await isAbsent());
    state = isRemoved ? 'gone' : 'open';
    if (!isRemoved && isDirty) timer.schedule(options.lazyWriteDelayMs, true);
    return isRemoved;
  }

  async function isAbsent(): Promise<boolean> {
    const found = await options.store.get(place.key);
    return found.isOk() && found.value === undefined;
  }

  function isGone(): boolean {
    return state === 'gone';
  }

  const segment: Segment = {
    key: place.key,
    get: (key) => entries.get(key)?.job,
    jobs: listJobs,
    isWriting: () => running !== undefined,
    fits: (size, key) => {
      if (state !== 'open') return false;
      const replaced = key === undefined ? undefined : entries.get(key);
      const count = entries.size - (replaced === undefined ? 0 : 1);
      const others = bytes - (replaced?.bytes ?? 0);
      return count < options.maxJobs && others + size <= options.maxBytes;
    },
    edit: (edit) => {
      if (state !== 'open') return Promise.resolve(err(notOwnerError()));
      setJob(edit.key, edit.next);
      const written = new Promise<Result<void, StoreError>>((settle) => {
        pending.push({ ...edit, settle });
      });
      if (running === undefined) timer.schedule(options.batchDelayMs);
      return written;
    },
    editLazily: (key, next) => {
      setJob(key, next);
      isDirty = true;
      if (running === undefined && state === 'open') timer.schedule(options.lazyWriteDelayMs, true);
    },
    flush: async () => {
      await running;
      if (state === 'open' && (isDirty || pending.length > 0)) await startWriting();
    },
    transfer,
    remove,
  };
  return segment;
}

function createEntry(job: JobRecord): JobEntry {
  const encoded = encodeJob(job);
  return { job, encoded, bytes: Buffer.byteLength(JSON.stringify(encoded)) + 1 };
}

/** Returns the number of bytes that a job adds to a segment. */
export function encodedJobBytes(job: JobRecord): number {
  return createEntry(job).bytes;
}

function toStoreError(result: WriteResult, edit?: JobEdit): StoreError | undefined {
  return match(result)
    .with({ kind: 'written' }, () => undefined)
    .with({ kind: 'not-written' }, (): StoreError => {
      return { kind: 'unavailable', detail: 'the store did not take the job record' };
    })
    .with({ kind: 'in-doubt' }, (): StoreError => {
      return { kind: 'in-doubt', detail: 'the store may have taken the job record' };
    })
    .with({ kind: 'lost' }, ({ jobs }): StoreError => {
      if (edit?.isNew !== true || !jobs.has(edit.key)) return notOwnerError();
      // A write in doubt took effect before the new owner adopted the segment and runs the job.
      return { kind: 'in-doubt', detail: 'another host has adopted the job' };
    })
    .exhaustive();
}

function notOwnerError(): StoreError {
  return { kind: 'conflict', detail: 'another host owns the job record' };
}

/** Creates a timer that fires at the earliest of the scheduled times. */
function createTimer(onFire: () => void) {
  let timeout: NodeJS.Timeout | undefined;
  let firesAt = Infinity;
  const cancel = () => {
    clearTimeout(timeout);
    firesAt = Infinity;
  };
  return {
    cancel,
    /** If `isIdle` is set, the timer does not keep the process alive. */
    schedule: (delayMs: number, isIdle = false): void => {
      const at = performance.now() + delayMs;
      if (at >= firesAt) return;
      cancel();
      firesAt = at;
      timeout = setTimeout(() => {
        firesAt = Infinity;
        onFire();
      }, delayMs);
      if (isIdle) timeout.unref();
    },
  };
}
