/**
 * One value of the journal: up to 64 jobs of one owner. Edits of the same turn and edits that arrive
 * while a write is under way go into one write.
 */
import { err, ok, type Result } from 'neverthrow';
import { match } from 'ts-pattern';
import type { Store, StoreError } from '../platform/index.js';
import { encodeJob, type EncodedJob, type JobRecord } from './job-record.js';
import { writeSegment, type Place, type Retries, type WriteResult } from './write-segment.js';

export interface SegmentOptions {
  readonly store: Store;
  readonly lingerMs: number;
  /** Longest wait until a change that nobody waits for is written. */
  readonly lazyMs: number;
  readonly retries: Retries;
  readonly maxJobs: number;
  readonly maxBytes: number;
  /** Called when another owner has the value, with the jobs that had not ended. */
  readonly onLost: (segment: Segment, jobs: readonly JobRecord[]) => void;
}

/** A change of one job that somebody waits for. */
export interface Edit {
  readonly key: string;
  readonly next: JobRecord;
  /** Whether the job was not in the value before. */
  readonly isNew: boolean;
  /** The job to keep if the write fails; undefined removes it. */
  readonly undo: (current: JobRecord) => JobRecord | undefined;
}

export interface Segment {
  readonly key: string;
  get(key: string): JobRecord | undefined;
  jobs(): readonly JobRecord[];
  /** Whether a job of this size could be added, or take the place of the job with this key. */
  fits(bytes: number, key?: string): boolean;
  isWriting(): boolean;
  /** Applies a change and resolves when it is in the store or certainly not, or in doubt. */
  edit(edit: Edit): Promise<Result<void, StoreError>>;
  /** Applies changes that are written later; undefined removes a job. */
  editLazily(key: string, next: JobRecord | undefined): void;
  /** Writes everything that is waiting. */
  flush(): Promise<void>;
  /** Gives the value to another owner. */
  transfer(owner: string): Promise<Result<void, StoreError>>;
  /** Removes the value; returns whether it is gone. */
  remove(): Promise<boolean>;
}

const LONGEST_RETRY_MS = 5000;
/** Owner, epoch, write id and punctuation around the jobs of a value. */
const ENVELOPE_BYTES = 512;

interface Waiting extends Edit {
  readonly settle: (result: Result<void, StoreError>) => void;
}

interface Kept {
  readonly job: JobRecord;
  readonly encoded: EncodedJob;
  readonly bytes: number;
}

export function createSegment(
  options: SegmentOptions,
  place: Place,
  initial: readonly (readonly [string, JobRecord])[],
): Segment {
  const kept = new Map<string, Kept>(initial.map(([key, job]) => [key, measure(job)]));
  const timer = createTimer(() => void run());
  let bytes = [...kept.values()].reduce((sum, job) => sum + job.bytes, ENVELOPE_BYTES);
  let { version } = place;
  let waiting: Waiting[] = [];
  let running: Promise<void> | undefined;
  /** `closing`: being handed over or removed. `gone`: not this process's any more. */
  let state: 'open' | 'closing' | 'gone' = 'open';
  let isDirty = false;
  let failures = 0;

  function put(key: string, job: JobRecord | undefined): void {
    bytes -= kept.get(key)?.bytes ?? 0;
    kept.delete(key);
    if (job === undefined) return;
    const next = measure(job);
    bytes += next.bytes;
    kept.set(key, next);
  }

  function write(owner = place.owner, epoch = place.epoch): Promise<WriteResult> {
    const jobs = [...kept.values()].map(({ encoded }) => encoded);
    return writeSegment(
      options.store,
      { ...place, version },
      { owner, epoch, jobs, isOwner: true },
      options.retries,
    );
  }

  function run(): Promise<void> {
    running ??= writeAll().finally(() => {
      running = undefined;
      if (!isDirty || state === 'gone') return;
      timer.wakeIn(Math.min(options.lazyMs * 2 ** failures, LONGEST_RETRY_MS), true);
    });
    return running;
  }

  async function writeAll(): Promise<void> {
    timer.cancel();
    do {
      const batch = waiting;
      waiting = [];
      const wasDirty = isDirty;
      isDirty = false;
      const result = await write();
      failures = result.kind === 'written' ? 0 : failures + 1;
      if (result.kind !== 'written') isDirty ||= wasDirty || result.kind === 'in-doubt';
      settleAll(batch, result);
    } while (waiting.length > 0);
  }

  function settleAll(batch: readonly Waiting[], result: WriteResult): void {
    if (result.kind !== 'lost') version = result.version;
    // Backwards, so that a job with several edits gets its first state again.
    for (const edit of [...batch].reverse()) {
      const error = describeFailure(result, edit);
      if (error !== undefined) undo(edit);
      edit.settle(error === undefined ? ok() : err(error));
    }
    if (result.kind === 'lost') lose();
  }

  function undo(edit: Waiting): void {
    const current = kept.get(edit.key);
    if (current !== undefined) put(edit.key, edit.undo(current.job));
  }

  function lose(): void {
    if (state === 'gone') return;
    state = 'gone';
    const left = waiting;
    waiting = [];
    for (const edit of left.reverse()) {
      undo(edit);
      edit.settle(err(describeLoss()));
    }
    options.onLost(
      segment,
      listJobs().filter((job) => job.state !== 'ended'),
    );
  }

  function listJobs(): readonly JobRecord[] {
    return [...kept.values()].map(({ job }) => job);
  }

  /** Refuses further edits and waits for the writes under way. */
  async function close(): Promise<void> {
    state = 'closing';
    timer.cancel();
    if (waiting.length > 0) await run();
    await running;
  }

  async function transfer(owner: string): Promise<Result<void, StoreError>> {
    await close();
    if (isGone()) return err(describeLoss());
    const result = await write(owner, place.epoch + 1);
    if (result.kind === 'lost') {
      lose();
      return err(describeLoss());
    }
    state = result.kind === 'written' ? 'gone' : 'open';
    version = result.version;
    if (result.kind === 'written') return ok();
    // The next write finds out who owns the value.
    isDirty ||= result.kind === 'in-doubt';
    if (isDirty) timer.wakeIn(options.lazyMs, true);
    return err(describeFailure(result) ?? describeLoss());
  }

  async function remove(): Promise<boolean> {
    await close();
    if (isGone()) return true;
    const isUnwritten = version === 0 && !isDirty;
    const isRemoved =
      isUnwritten || (await options.store.remove(place.key, version)).isOk() || (await isAbsent());
    state = isRemoved ? 'gone' : 'open';
    if (!isRemoved && isDirty) timer.wakeIn(options.lazyMs, true);
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
    get: (key) => kept.get(key)?.job,
    jobs: listJobs,
    isWriting: () => running !== undefined,
    fits: (size, key) => {
      if (state !== 'open') return false;
      const replaced = key === undefined ? undefined : kept.get(key);
      const count = kept.size - (replaced === undefined ? 0 : 1);
      const others = bytes - (replaced?.bytes ?? 0);
      return count < options.maxJobs && others + size <= options.maxBytes;
    },
    edit: (edit) => {
      if (state !== 'open') return Promise.resolve(err(describeLoss()));
      put(edit.key, edit.next);
      const written = new Promise<Result<void, StoreError>>((settle) => {
        waiting.push({ ...edit, settle });
      });
      if (running === undefined) timer.wakeIn(options.lingerMs);
      return written;
    },
    editLazily: (key, next) => {
      put(key, next);
      isDirty = true;
      if (running === undefined && state === 'open') timer.wakeIn(options.lazyMs, true);
    },
    flush: async () => {
      await running;
      if (state === 'open' && (isDirty || waiting.length > 0)) await run();
    },
    transfer,
    remove,
  };
  return segment;
}

function measure(job: JobRecord): Kept {
  const encoded = encodeJob(job);
  return { job, encoded, bytes: Buffer.byteLength(JSON.stringify(encoded)) + 1 };
}

/** What a job adds to a value, in bytes. */
export function measureJob(job: JobRecord): number {
  return measure(job).bytes;
}

function describeFailure(result: WriteResult, edit?: Edit): StoreError | undefined {
  return match(result)
    .with({ kind: 'written' }, () => undefined)
    .with({ kind: 'not-written' }, (): StoreError => {
      return { kind: 'unavailable', detail: 'the store did not take the job record' };
    })
    .with({ kind: 'in-doubt' }, (): StoreError => {
      return { kind: 'in-doubt', detail: 'the store may have taken the job record' };
    })
    .with({ kind: 'lost' }, ({ jobs }): StoreError => {
      if (edit?.isNew !== true || !jobs.has(edit.key)) return describeLoss();
      // A write in doubt took effect before the new owner came; that owner runs the job.
      return { kind: 'in-doubt', detail: 'another host has adopted the job' };
    })
    .exhaustive();
}

function describeLoss(): StoreError {
  return { kind: 'conflict', detail: 'another host owns the job record' };
}

/** A timer that fires at the earliest of the times asked for. */
function createTimer(onFire: () => void) {
  let timeout: NodeJS.Timeout | undefined;
  let firesAt = Infinity;
  const cancel = () => {
    clearTimeout(timeout);
    firesAt = Infinity;
  };
  return {
    cancel,
    /** An idle timer does not keep the process alive. */
    wakeIn: (delayMs: number, isIdle = false): void => {
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
