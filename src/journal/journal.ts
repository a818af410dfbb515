/**
 * Records of accepted jobs in the store. Each host owns some values `jobs/<data centre>/<n>`, each
 * with up to 64 jobs. After a host has died, every one of its values is adopted by exactly one host,
 * by compare-and-swap on owner and epoch.
 */
import { ResultAsync, errAsync, err, ok, okAsync, type Result } from 'neverthrow';
import { SILENT_LOG } from '../log/index.js';
import { unknownOutcome, type Outcome, type WorkRequest } from '../model/index.js';
import type { StoreError } from '../platform/index.js';
import { adoptSegments } from './adopt-segments.js';
import { jobKey, keyOfJob, type JobRecord, type StartedTask } from './job-record.js';
import type { JournalOptions } from './options.js';
import { createSegment, measureJob, type Segment, type SegmentOptions } from './segment.js';
import { decodeSegment, type Place } from './write-segment.js';

/** The records of the jobs that this host has accepted or adopted. */
export interface Journal {
  /**
   * Resolves when the record is written. After `in-doubt` the job may be kept until this host has
   * removed it from the record, so that it is neither refused nor run here; after the other errors
   * it is certainly not kept.
   */
  accept(request: WorkRequest): ResultAsync<void, StoreError>;
  /** Records a start before it is sent; after an error, the task must not be started. */
  started(team: string, id: string, task: StartedTask): ResultAsync<void, StoreError>;
  /** Ends a job; written lazily. The input is dropped. */
  ended(team: string, id: string, outcome: Outcome): void;
  /**
   * Adopts the values of dead owners and the values that were released to this one, and returns
   * their jobs that have not ended. Values whose write failed are left to the next call.
   */
  adopt(isDead: (owner: string) => boolean): ResultAsync<readonly JobRecord[], StoreError>;
  /** Finds a job of this host in memory and a job of another host in the store. */
  find(team: string, id: string): ResultAsync<JobRecord | undefined, StoreError>;
  /**
   * Gives all values to a peer, which adopts them with its next call, and returns their jobs that
   * have not ended. No job is accepted afterwards. After an error the rest is still owned.
   */
  release(owner: string): ResultAsync<readonly JobRecord[], StoreError>;
  /** Removes ended jobs that were kept long enough. Runs periodically; costs nothing if there are none. */
  sweep(): Promise<void>;
  /** Writes everything that is waiting. */
  flush(): Promise<void>;
  /** Jobs of this host, ended ones included. */
  jobs(): readonly JobRecord[];
}

const DEFAULT_LINGER_MS = 5;
const DEFAULT_LAZY_MS = 1000;
/** As long as a request id can be repeated. */
const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_JOBS = 64;
/** Below the store's limit of one megabyte a value. */
const DEFAULT_MAX_BYTES = 900_000;
/** Values with room that are written at the same time. */
const MAX_OPEN_SEGMENTS = 4;
/** Ended jobs that are removed from a value with a write of their own. */
const COMPACT_JOBS = 16;
/** A write in doubt is settled within 750 ms or reported in doubt. */
const DEFAULT_RETRIES = { attempts: 4, delayMs: 50 };

export function createJournal(options: JournalOptions): Journal {
  const { owner, now, retentionMs = DEFAULT_RETENTION_MS, log = SILENT_LOG } = options;
  const prefix = `jobs/${options.dataCentre}/`;
  const segments = new Map<string, Segment>();
  const segmentOf = new Map<string, Segment>();
  /** Values that may hold a job whose acceptance is in doubt; a repeat must not go to another one. */
  const doubts = new Map<string, Segment>();
  const accepting = new Map<string, Promise<Result<void, StoreError>>>();
  const segmentOptions: SegmentOptions = {
    store: options.store,
    lingerMs: options.lingerMs ?? DEFAULT_LINGER_MS,
    lazyMs: options.lazyMs ?? DEFAULT_LAZY_MS,
    retries: options.retries ?? DEFAULT_RETRIES,
    maxJobs: options.maxJobs ?? DEFAULT_MAX_JOBS,
    maxBytes: options.maxBytes ?? DEFAULT_MAX_BYTES,
    onLost: (segment, jobs) => {
      forget(segment);
      log.warn(`Lost ${segment.key} to another host.`, { jobs: jobs.length });
      options.onLost?.(jobs);
    },
  };
  let created = 0;
  let isReleased = false;
  let lastExclusive: Promise<unknown> = Promise.resolve();

  /** Adoption, release and sweeping do not overlap, so that none acts on a value that another moves. */
  function runAlone<T>(task: () => Promise<T>): Promise<T> {
    const done = lastExclusive.then(task);
    lastExclusive = done.catch(() => undefined);
    return done;
  }

  /** Keeps an adopted value and returns its jobs without those that another value holds too. */
  function keep(place: Place, jobs: readonly JobRecord[]): readonly JobRecord[] {
    const named = jobs.map((job) => [keyOfJob(job), job] as const);
    const segment = createSegment(segmentOptions, place, named);
    segments.set(segment.key, segment);
    for (const [key] of named) {
      if (segmentOf.has(key)) segment.editLazily(key, undefined);
      else segmentOf.set(key, segment);
    }
    return segment.jobs();
  }

  function forget(segment: Segment): void {
    segments.delete(segment.key);
    for (const job of segment.jobs()) segmentOf.delete(keyOfJob(job));
    for (const [key, doubtful] of doubts) if (doubtful === segment) doubts.delete(key);
  }

  /** A value with room; the key is never used twice, because owners and counters do not repeat. */
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
    const present = accepting.get(key);
    if (present !== undefined) return present;
    if (segmentOf.has(key)) return ok();
    if (isReleased) return err({ kind: 'unavailable', detail: 'this host is leaving' });
    const job: JobRecord = { request, state: 'queued', tasks: [] };
    const bytes = measureJob(job);
    const doubtful = doubts.get(key);
    if (doubtful?.fits(bytes) === false) return err(describeDoubt(request));
    const segment = doubtful ?? chooseSegment(bytes);
    if (segment === undefined) return err(describeTooLarge(request, segmentOptions.maxBytes));
    segmentOf.set(key, segment);
    const written = segment.edit({ key, next: job, isNew: true, undo: () => undefined });
    accepting.set(key, written);
    const result = keepDoubt(await written, doubtful !== undefined, request);
    accepting.delete(key);
    doubts.delete(key);
    if (result.isErr() && result.error.kind === 'in-doubt') doubts.set(key, segment);
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
      current.state === 'ended' ? current : withoutTask(current, task, job);
    return new ResultAsync(segment.edit({ key, next, isNew: false, undo }));
  }

  function ended(team: string, id: string, outcome: Outcome): void {
    const key = jobKey(team, id);
    const segment = segmentOf.get(key);
    const job = segment?.get(key);
    if (segment === undefined || job === undefined || job.state === 'ended') return;
    const request = { ...job.request, input: new Uint8Array() };
    const next: JobRecord = { ...job, request, state: 'ended', outcome, endedAt: now() };
    const fits = segment.fits(measureJob(next), key);
    segment.editLazily(key, fits ? next : { ...next, outcome: describeDropped(outcome) });
  }

  async function release(peer: string): Promise<Result<readonly JobRecord[], StoreError>> {
    isReleased = true;
    const moved: JobRecord[] = [];
    for (const segment of [...segments.values()]) {
      const result = await segment.transfer(peer);
      if (result.isErr() && result.error.kind !== 'conflict') return err(result.error);
      if (result.isErr()) continue;
      forget(segment);
      moved.push(...segment.jobs().filter((job) => job.state !== 'ended'));
    }
    return ok(moved);
  }

  async function sweepSegment(segment: Segment): Promise<void> {
    const jobs = segment.jobs();
    const isOld = ({ endedAt }: JobRecord) =>
      endedAt !== undefined && now() - endedAt >= retentionMs;
    const old = jobs.filter(isOld);
    if (old.length === jobs.length) {
      if (!segment.isWriting() && (await segment.remove())) forget(segment);
      return;
    }
    if (old.length < COMPACT_JOBS) return;
    for (const key of old.map(keyOfJob)) {
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
        runAlone(() =>
          adoptSegments({
            ...segmentOptions,
            owner,
            prefix,
            log,
            isDead,
            keep,
            isKept: (key) => segments.has(key),
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
    release: (peer) => new ResultAsync(runAlone(() => release(peer))),
    sweep: () =>
      runAlone(async () => {
        for (const segment of [...segments.values()]) await sweepSegment(segment);
      }),
    flush: async () => {
      await Promise.all([...segments.values()].map((segment) => segment.flush()));
    },
    jobs: () => [...segments.values()].flatMap((segment) => segment.jobs()),
  };
}

/** Takes back a start that was not recorded. */
function withoutTask(current: JobRecord, task: StartedTask, before: JobRecord): JobRecord {
  const former = before.tasks.filter(({ index }) => index === task.index);
  const tasks = current.tasks.flatMap((other) => (other === task ? former : [other]));
  return { ...current, tasks, state: tasks.length === 0 ? 'queued' : 'running' };
}

function describeTooLarge(request: WorkRequest, maxBytes: number): StoreError {
  const size = `${String(request.input.byteLength)} bytes`;
  const detail = `an input of ${size} does not fit into a record of ${String(maxBytes)} bytes; lower maxInputBytes of ${request.entry}`;
  return { kind: 'unavailable', detail };
}

/** A write that certainly failed does not settle an earlier one of the same job. */
function keepDoubt(
  result: Result<void, StoreError>,
  wasInDoubt: boolean,
  request: WorkRequest,
): Result<void, StoreError> {
  if (!wasInDoubt || result.isOk() || result.error.kind !== 'unavailable') return result;
  return err(describeDoubt(request));
}

function describeDoubt({ id }: WorkRequest): StoreError {
  return { kind: 'in-doubt', detail: `the store may still hold an earlier record of ${id}` };
}

/** The value has no room for the answer. */
function describeDropped(outcome: Outcome): Outcome {
  return unknownOutcome(
    outcome.kind === 'done'
      ? `The job is done; its answer of ${String(outcome.body.byteLength)} bytes was too large to keep.`
      : 'The job has ended.',
  );
}
