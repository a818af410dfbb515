/**
 * Records accepted jobs in the store. The records are grouped into segments: values
 * `jobs/<data centre>/<n>` of up to 64 jobs, each owned by one host. After a host has died, each of
 * its segments is adopted by exactly one other host, by compare-and-swap on owner and epoch.
 */
import { ResultAsync, errAsync, err, ok, okAsync, type Result } from 'neverthrow';
import { SILENT_LOG } from '../log/index.js';
import { unknownOutcome, type Outcome, type WorkRequest } from '../model/index.js';
import type { StoreError } from '../platform/index.js';
import { adoptSegments } from './adopt-segments.js';
import { jobKey, keyOfJob, type JobRecord, type StartedTask } from './job-record.js';
import type { JournalOptions } from './options.js';
import { createSegment, encodedJobBytes, type Segment, type SegmentOptions } from './segment.js';
import { decodeSegment, type SegmentRef } from './write-segment.js';

/** The records of the jobs that this host has accepted or adopted. */
export interface Journal {
  /**
   * Records a job and resolves when the record is written. After an `in-doubt` error, the store may
   * contain the job until this host has removed it, so the job must be neither refused nor run
   * here. After any other error, the store certainly does not contain the job.
   */
  accept(request: WorkRequest): ResultAsync<void, StoreError>;
  /** Records a start before it is sent. After an error, the task must not be started. */
  started(team: string, id: string, task: StartedTask): ResultAsync<void, StoreError>;
  /** Records the end of a job and drops its input. The change is written later. */
  ended(team: string, id: string, outcome: Outcome): void;
  /**
   * Adopts the segments of dead owners and those that were released to this owner, and returns
   * their jobs that have not ended. Segments whose write failed are retried by the next call.
   */
  adopt(isDead: (owner: string) => boolean): ResultAsync<readonly JobRecord[], StoreError>;
  /** Finds a job, in memory if it belongs to this host and otherwise in the store. */
  find(team: string, id: string): ResultAsync<JobRecord | undefined, StoreError>;
  /**
   * Transfers all segments to a peer, which adopts them with its next call of `adopt`, and returns
   * their jobs that have not ended. No job is accepted afterwards. After an error, this host still
   * owns the remaining segments.
   */
  release(owner: string): ResultAsync<readonly JobRecord[], StoreError>;
  /**
   * Removes ended jobs whose retention has expired. Called periodically; costs nothing if there are
   * none.
   */
  sweep(): Promise<void>;
  /** Writes all pending changes. */
  flush(): Promise<void>;
  /** Returns the jobs of this host, including ended ones. */
  jobs(): readonly JobRecord[];
}

const DEFAULT_BATCH_DELAY_MS = 5;
const DEFAULT_LAZY_WRITE_DELAY_MS = 1000;
/** Ended jobs are kept for as long as a request id can be repeated. */
const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_JOBS = 64;
/** Below the limit of the store, one megabyte per value. */
const DEFAULT_MAX_BYTES = 900_000;
/** Maximum number of segments with free space that are written at the same time. */
const MAX_OPEN_SEGMENTS = 4;
/** Minimum number of expired jobs for which a segment is rewritten. */
const MIN_COMPACTED_JOBS = 16;
/** A write in doubt is resolved within 750 ms or reported as in doubt. */
const DEFAULT_RETRIES = { attempts: 4, delayMs: 50 };

export function createJournal(options: JournalOptions): Journal {
  const { owner, now, retentionMs = DEFAULT_RETENTION_MS, log = SILENT_LOG } = options;
  const prefix = `jobs/${options.dataCentre}/`;
  const segments = new Map<string, Segment>();
  const segmentOf = new Map<string, Segment>();
  /**
   * Segments that may contain a job whose acceptance is in doubt. A retry must use the same
   * segment.
   */
  const inDoubtSegments = new Map<string, Segment>();
  const accepting = new Map<string, Promise<Result<void, StoreError>>>();
  const segmentOptions: SegmentOptions = {
    store: options.store,
    batchDelayMs: options.batchDelayMs ?? DEFAULT_BATCH_DELAY_MS,
    lazyWriteDelayMs: options.lazyWriteDelayMs ?? DEFAULT_LAZY_WRITE_DELAY_MS,
    retries: options.retries ?? DEFAULT_RETRIES,
    maxJobs: options.maxJobs ?? DEFAULT_MAX_JOBS,
    maxBytes: options.maxBytes ?? DEFAULT_MAX_BYTES,
    onLost: (segment, jobs) => {
      dropSegment(segment);
      log.warn(`Lost segment ${segment.key} to another host.`, { jobs: jobs.length });
      options.onLost?.(jobs);
    },
  };
  let created = 0;
  let isReleased = false;
  let lastExclusive: Promise<unknown> = Promise.resolve();

  /**
   * Serializes adoption, release and sweeping, so that none uses a segment that another one moves.
   */
  function runExclusively<T>(task: () => Promise<T>): Promise<T> {
    const done = lastExclusive.then(task);
    lastExclusive = done.catch(() => undefined);
    return done;
  }

  /**
   * Adds an adopted segment and returns its jobs, except those that another segment contains too.
   */
  function addSegment(place: SegmentRef, jobs: readonly JobRecord[]): readonly JobRecord[] {
    const entries = jobs.map((job) => [keyOfJob(job), job] as const);
    const segment = createSegment(segmentOptions, place, entries);
    segments.set(segment.key, segment);
    for (const [key] of entries) {
      if (segmentOf.has(key)) segment.editLazily(key, undefined);
      else segmentOf.set(key, segment);
    }
    return segment.jobs();
  }

  function dropSegment(segment: Segment): void {
    segments.delete(segment.key);
    for (const job of segment.jobs()) segmentOf.delete(keyOfJob(job));
    for (const [key, inDoubtSegment] of inDoubtSegments)
      if (inDoubtSegment === segment) inDoubtSegments.delete(key);
  }

  /**
   * Returns a segment with enough free space, or a new one. Its key is unique, because owners and
   * counters never repeat.
   */
  function chooseSegment(bytes: number): Segment | undefined {
    const open = [...segments.values()].filter((segment) => segment.fits(bytes));
    const idle = open.find((segment) => !segment.isWriting());
    if (idle !== undefined || open.length >= MAX_OPEN_SEGMENTS) return idle ?? open[0];
    const key = `${prefix}${owner.replaceAll('/', '.')}.${String(created)}`;
    const segment = createSegment(segmentOptions, { key, version: 0, owner, epoch: 1 }, []);
    if (!segment.fits(bytes)) return undefined;
    created += 1;
    segments.set(key, segment);
    return segment;
  }

  async function accept(request: WorkRequest): Promise<Result<void, StoreError>> {
    const key = jobKey(request.team, request.id);
    const pending = accepting.get(key);
    if (pending !== undefined) return pending;
    if (segmentOf.has(key)) return ok();
    if (isReleased) return err({ kind: 'unavailable', detail: 'this host is leaving' });
    const job: JobRecord = { request, state: 'queued', tasks: [] };
    const bytes = encodedJobBytes(job);
    const inDoubtSegment = inDoubtSegments.get(key);
    if (inDoubtSegment?.fits(bytes) === false) return err(inDoubtError(request));
    const segment = inDoubtSegment ?? chooseSegment(bytes);
    if (segment === undefined) return err(tooLargeError(request, segmentOptions.maxBytes));
    segmentOf.set(key, segment);
    const written = segment.edit({ key, next: job, isNew: true, undo: () => undefined });
    accepting.set(key, written);
    const result = preserveDoubt(await written, inDoubtSegment !== undefined, request);
    accepting.delete(key);
    inDoubtSegments.delete(key);
    if (result.isErr() && result.error.kind === 'in-doubt') inDoubtSegments.set(key, segment);
    if (result.isErr() && segmentOf.get(key) === segment) segmentOf.delete(key);
    return result;
  }

  function started(team: string, id: string, task: StartedTask): ResultAsync<void, StoreError> {
    const key = jobKey(team, id);
    const segment = segmentOf.get(key);
    const job = segment?.get(key);
    if (segment === undefined || job === undefined || job.state === 'ended') {
      return errAsync({ kind: 'conflict', detail: `this host has no open job ${id}` });
    }
    const tasks = [...job.tasks.filter(({ index }) => index !== task.index), task];
    const next: JobRecord = { ...job, state: 'running', tasks };
    const undo = (current: JobRecord) =>
      current.state === 'ended' ? current : revertStart(current, task, job);
    return new ResultAsync(segment.edit({ key, next, isNew: false, undo }));
  }

  function ended(team: string, id: string, outcome: Outcome): void {
    const key = jobKey(team, id);
    const segment = segmentOf.get(key);
    const job = segment?.get(key);
    if (segment === undefined || job === undefined || job.state === 'ended') return;
    const request = { ...job.request, input: new Uint8Array() };
    const next: JobRecord = { ...job, request, state: 'ended', outcome, endedAt: now() };
    const fits = segment.fits(encodedJobBytes(next), key);
    segment.editLazily(key, fits ? next : { ...next, outcome: outcomeWithoutAnswer(outcome) });
  }

  async function release(peer: string): Promise<Result<readonly JobRecord[], StoreError>> {
    isReleased = true;
    const moved: JobRecord[] = [];
    for (const segment of [...segments.values()]) {
      const result = await segment.transfer(peer);
      if (result.isErr() && result.error.kind !== 'conflict') return err(result.error);
      if (result.isErr()) continue;
      dropSegment(segment);
      moved.push(...segment.jobs().filter((job) => job.state !== 'ended'));
    }
    return ok(moved);
  }

  async function sweepSegment(segment: Segment): Promise<void> {
    const jobs = segment.jobs();
    const isExpired = ({ endedAt }: JobRecord) =>
      endedAt !== undefined && now() - endedAt >= retentionMs;
    const expired = jobs.filter(isExpired);
    if (expired.length === jobs.length) {
      if (!segment.isWriting() && (await segment.remove())) dropSegment(segment);
      return;
    }
    if (expired.length < MIN_COMPACTED_JOBS) return;
    for (const key of expired.map(keyOfJob)) {
      segment.editLazily(key, undefined);
      segmentOf.delete(key);
    }
  }

  function findLocally(key: string): JobRecord | undefined {
    return accepting.has(key) ? undefined : segmentOf.get(key)?.get(key);
  }

  return {
    accept: (request) => new ResultAsync(accept(request)),
    started,
    ended,
    adopt: (isDead) =>
      new ResultAsync(
        runExclusively(() =>
          adoptSegments({
            ...segmentOptions,
            owner,
            prefix,
            log,
            isDead,
            addSegment,
            hasSegment: (key) => segments.has(key),
          }),
        ),
      ),
    find: (team, id) => {
      const key = jobKey(team, id);
      const job = findLocally(key);
      if (job !== undefined) return okAsync(job);
      return options.store.list(prefix).map((values) => {
        const jobs = [...values.values()].flatMap(({ value }) => decodeSegment(value)?.jobs ?? []);
        return jobs.find((candidate) => keyOfJob(candidate) === key);
      });
    },
    release: (peer) => new ResultAsync(runExclusively(() => release(peer))),
    sweep: () =>
      runExclusively(async () => {
        for (const segment of [...segments.values()]) await sweepSegment(segment);
      }),
    flush: async () => {
      await Promise.all([...segments.values()].map((segment) => segment.flush()));
    },
    jobs: () => [...segments.values()].flatMap((segment) => segment.jobs()),
  };
}

/** Reverts a start that could not be recorded. */
function revertStart(current: JobRecord, task: StartedTask, before: JobRecord): JobRecord {
  const former = before.tasks.filter(({ index }) => index === task.index);
  const tasks = current.tasks.flatMap((other) => (other === task ? former : [other]));
  return { ...current, tasks, state: tasks.length === 0 ? 'queued' : 'running' };
}

function tooLargeError(request: WorkRequest, maxBytes: number): StoreError {
  const size = `${String(request.input.byteLength)} bytes`;
  const detail = `an input of ${size} does not fit into a record of ${String(maxBytes)} bytes; lower maxInputBytes of ${request.entry}`;
  return { kind: 'unavailable', detail };
}

/**
 * Keeps a job in doubt if the write certainly failed, because an earlier write may have succeeded.
 */
function preserveDoubt(
  result: Result<void, StoreError>,
  wasInDoubt: boolean,
  request: WorkRequest,
): Result<void, StoreError> {
  if (!wasInDoubt || result.isOk() || result.error.kind !== 'unavailable') return result;
  return err(inDoubtError(request));
}

function inDoubtError({ id }: WorkRequest): StoreError {
  return { kind: 'in-doubt', detail: `the store may still hold an earlier record of ${id}` };
}

/** Returns the outcome to record if the answer does not fit into the segment. */
function outcomeWithoutAnswer(outcome: Outcome): Outcome {
  return unknownOutcome(
    outcome.kind === 'done'
      ? `The job is done; its answer of ${String(outcome.body.byteLength)} bytes was too large to keep.`
      : 'The job has ended.',
  );
}
