/**
 * Looks up the state of jobs at any host. Final states are cached once they are durable; all others are read from the
 * store for each query, so that an answer is never older than its query.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { decodeJob, decodeProgress, isFinal, JOB_STORE_KEYS } from '../jobs/index.js';
import type { Job, JobState } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { StoreEntry, KeyValueStore, StoreFailure } from '../records/index.js';

export interface JobReader {
  /** State of a job; undefined if the job does not exist. */
  state(id: string): Promise<Result<JobState | undefined, StoreFailure>>;
  job(id: string): Promise<Result<Job | undefined, StoreFailure>>;
  /** Number of accepted jobs of the queue of which no task was started. */
  pending(queue: string): Promise<Result<number, StoreFailure>>;
  /** The final state, if it is cached on this host. */
  finalState(id: string): JobState | undefined;
  /** Caches the final state of a job that is durable in the store. */
  recordEnd(id: string, state: JobState): void;
}

export interface JobReaderOptions {
  readonly store: KeyValueStore;
  readonly events: EventLog;
  readonly now?: () => number;
}

/** Maximum number of cached final states per host. */
const MAX_FINAL_STATES = 20_000;
/** The leader writes the backlog every 400 ms, and the platform accepts counts that are up to 2 s old. */
const MAX_BACKLOG_AGE_MS = 300;

export function createJobReader(options: JobReaderOptions): JobReader {
  const { store, events, now = () => performance.now() } = options;
  const finalStates = new Map<string, JobState>();
  let backlog:
    { readonly at: number; readonly counts: Readonly<Record<string, number>> } | undefined;

  function storeFinalState(id: string, state: JobState) {
    if (finalStates.size >= MAX_FINAL_STATES) {
      const [oldest] = finalStates.keys();
      if (oldest !== undefined) finalStates.delete(oldest);
    }
    finalStates.set(id, state);
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
    if (isFinal(progress.state)) storeFinalState(id, progress.state);
    return ok(progress.state);
  }

  async function readProgress(id: string): Promise<Result<JobState | undefined, StoreFailure>> {
    const found = await store.get(JOB_STORE_KEYS.progressOf(id));
    return found.andThen((entry) => (entry === undefined ? ok(undefined) : decodeState(id, entry)));
  }

  return {
    finalState: (id) => finalStates.get(id),
    recordEnd: (id, state) => {
      if (isFinal(state)) storeFinalState(id, state);
    },
    state: async (id) => {
      const known = finalStates.get(id);
      if (known !== undefined) return ok(known);
      const progressState = await readProgress(id);
      if (progressState.isErr() || progressState.value !== undefined) return progressState;
      const acceptedState = await readAccepted(id);
      if (acceptedState.isErr() || acceptedState.value !== undefined) return acceptedState;
      // A short job may have run between the two reads; only its progress record exists then.
      return readProgress(id);
    },
    job: async (id) => {
      const found = await store.get(JOB_STORE_KEYS.job(id));
      return found.map((entry) => (entry === undefined ? undefined : decodeJob(entry.value)));
    },
    pending: async (queue) => {
      if (backlog === undefined || now() - backlog.at > MAX_BACKLOG_AGE_MS) {
        const at = now();
        const found = await store.get(JOB_STORE_KEYS.backlog);
        if (found.isErr()) return err(found.error);
        const counts = parseCounts(found.value?.value ?? '{}');
        if (counts === undefined) {
          events.error('backlog-record-unreadable', { revision: found.value?.revision });
          return err({ kind: 'rejected', detail: 'the backlog record cannot be read' });
        }
        backlog = { at, counts };
      }
      return ok(backlog.counts[queue] ?? 0);
    },
  };
}

const countsSchema = z.record(z.string(), z.number());

/** Decodes the number of pending jobs by queue; undefined if the text is not valid. */
function parseCounts(text: string): Record<string, number> | undefined {
  try {
    const parsed = countsSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
