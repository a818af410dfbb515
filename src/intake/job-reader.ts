/**
 * Answers questions about jobs at any host. The store is asked for each job that is not known to be
 * finished, so that an answer is never older than the question; final states are remembered.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { decodeJob, decodeProgress, isFinal, JOB_STORE_KEYS } from '../jobs/index.js';
import type { Job, JobState } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { StoreEntry, KeyValueStore, StoreFailure } from '../records/index.js';

export interface JobReader {
  /** State of a job; undefined if there is no such job. */
  state(id: string): Promise<Result<JobState | undefined, StoreFailure>>;
  job(id: string): Promise<Result<Job | undefined, StoreFailure>>;
  /** Accepted jobs of the queue for which no task was started. */
  pending(queue: string): Promise<Result<number, StoreFailure>>;
  /** The final state, if this host knows it already. */
  finalState(id: string): JobState | undefined;
  /** Notes how the job has ended, which the store knows. */
  recordEnd(id: string, state: JobState): void;
  /** Notes that the job is completed, which the store may not know yet. */
  recordCompletion(id: string): void;
  /** Jobs noted as completed a short time ago. */
  recentCompletions(): readonly string[];
}

export interface JobReaderOptions {
  readonly store: KeyValueStore;
  readonly events: EventLog;
  readonly now?: () => number;
}

/** Final states remembered per host. */
const MAX_FINAL_STATES = 20_000;
/** Longer than any outage of the store, in which a leader may fail that knew of a completion. */
const COMPLETIONS_KEPT_MS = 60_000;
/** The leader writes the backlog every 400 ms; the platform allows an answer that is 2 s old. */
const BACKLOG_AGE_MS = 300;

export function createJobReader(options: JobReaderOptions): JobReader {
  const { store, events, now = () => performance.now() } = options;
  const finals = new Map<string, JobState>();
  /** Jobs noted as completed, with the time of the note. */
  const noted = new Map<string, number>();
  let backlog:
    { readonly at: number; readonly counts: Readonly<Record<string, number>> } | undefined;

  function noteFinal(id: string, state: JobState) {
    if (finals.size >= MAX_FINAL_STATES) {
      const [oldest] = finals.keys();
      if (oldest !== undefined) finals.delete(oldest);
    }
    finals.set(id, state);
  }

  async function readAccepted(id: string): Promise<Result<JobState | undefined, StoreFailure>> {
    const listing = await store.list(JOB_STORE_KEYS.job(id));
    if (listing.isErr()) return err(listing.error);
    const keys = new Set(listing.value.entries.map(({ key }) => key));
    if (keys.has(JOB_STORE_KEYS.cancellation(id))) return ok('cancelled');
    return ok(keys.has(JOB_STORE_KEYS.job(id)) ? 'queued' : undefined);
  }

  function decodeState(
    id: string,
    { value, revision }: StoreEntry,
  ): Result<JobState, StoreFailure> {
    const progress = decodeProgress(value);
    if (progress === undefined) {
      events.error('progress-record-unreadable', { job: id, revision });
      return err({ kind: 'rejected', detail: 'the progress record cannot be read' });
    }
    if (isFinal(progress.state)) noteFinal(id, progress.state);
    return ok(progress.state);
  }

  async function readProgress(id: string): Promise<Result<JobState | undefined, StoreFailure>> {
    const found = await store.get(JOB_STORE_KEYS.progressOf(id));
    return found.andThen((entry) => (entry === undefined ? ok(undefined) : decodeState(id, entry)));
  }

  return {
    finalState: (id) => finals.get(id),
    recordCompletion: (id) => {
      if (finals.has(id)) return;
      noteFinal(id, 'completed');
      noted.set(id, now());
    },
    recordEnd: (id, state) => {
      if (isFinal(state)) noteFinal(id, state);
    },
    recentCompletions: () => {
      for (const [id, at] of noted) {
        if (now() - at > COMPLETIONS_KEPT_MS) noted.delete(id);
      }
      return [...noted.keys()];
    },
    state: async (id) => {
      const known = finals.get(id);
      if (known !== undefined) return ok(known);
      const begun = await readProgress(id);
      if (begun.isErr() || begun.value !== undefined) return begun;
      const accepted = await readAccepted(id);
      if (accepted.isErr() || accepted.value !== undefined) return accepted;
      // A short job may have run between the two reads; only its progress is left then.
      return readProgress(id);
    },
    job: async (id) => {
      const found = await store.get(JOB_STORE_KEYS.job(id));
      return found.map((entry) => (entry === undefined ? undefined : decodeJob(entry.value)));
    },
    pending: async (queue) => {
      if (backlog === undefined || now() - backlog.at > BACKLOG_AGE_MS) {
        const at = now();
        const found = await store.get(JOB_STORE_KEYS.backlog);
        if (found.isErr()) return err(found.error);
        backlog = { at, counts: parseCounts(found.value?.value ?? '{}') };
      }
      return ok(backlog.counts[queue] ?? 0);
    },
  };
}

function parseCounts(text: string): Record<string, number> {
  return JSON.parse(text) as Record<string, number>;
}
