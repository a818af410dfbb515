/**
 * What callers may do at any host: submit, ask for, cancel and count jobs. Access is judged by the
 * configuration in force; a denial is given only after the configuration was read afresh, because a new
 * key or queue may not have arrived here yet.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Job, JobState } from '../jobs/index.js';
import { isFinal } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { ConfigurationHolder, ActiveConfiguration, Queue } from '../queues/index.js';
import { findQueue, findTeamByKey } from '../queues/index.js';
import type { StoreEntry, KeyValueStore } from '../records/index.js';
import { cancelJob } from './cancellations.js';
import type { CancellationOutcome } from './cancellations.js';
import type { JobReader } from './job-reader.js';
import type { SubmissionBatcher } from './submissions.js';

/** Team of work in queues that are open to all. */
const OPEN_TEAM = '';
/** A denial needs a configuration that was confirmed this recently. */
const DENIAL_FRESHNESS_MS = 250;
/** Attempts to submit under a configuration that keeps changing. */
const MAX_REJUDGEMENTS = 4;

export interface Caller {
  readonly host: string;
  readonly path: string;
  /** The presented key; undefined if there is none. */
  readonly key: string | undefined;
}

export interface Access {
  readonly queue: Queue;
  readonly team: string;
  /** Path below the queue's prefix. */
  readonly rest: string;
  readonly inForce: ActiveConfiguration;
}

/** A job as its caller describes it. */
export type JobSubmission = Pick<Job, 'id' | 'spec' | 'steps' | 'schedule'>;

export type DenialReason = 'no-configuration' | 'no-queue' | 'unknown-key';

export type SubmitAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'denied'; readonly denial: DenialReason }
  | { readonly kind: 'refused'; readonly reason: string }
  | { readonly kind: 'unknown' };

export type StateAnswer = JobState | 'no-such-job' | 'unavailable';

export interface CallerService {
  authorize(caller: Caller): Promise<Result<Access, DenialReason>>;
  submit(caller: Caller, work: JobSubmission, deadlineAt: number): Promise<SubmitAnswer>;
  state(id: string): Promise<StateAnswer>;
  cancel(id: string, deadlineAt: number): Promise<CancellationOutcome>;
  pending(queue: string): Promise<number | undefined>;
}

export interface CallerServiceOptions {
  /** Name of this host. */
  readonly host: string;
  readonly store: KeyValueStore;
  readonly configuration: ConfigurationHolder;
  /** Key of the operators' configuration in the store. */
  readonly configurationKey: string;
  /** Takes over a configuration entry that was read. */
  readonly adopt: (entry: StoreEntry) => void;
  /** Monotonic milliseconds of the last confirmed configuration. */
  readonly confirmedAt: () => number;
  /** The store was not reached for so long that callers should try another host. */
  readonly isStoreLost: () => boolean;
  /** Reads the configuration now. */
  readonly refreshConfiguration: () => Promise<void>;
  readonly submissions: SubmissionBatcher;
  readonly reader: JobReader;
  readonly events: EventLog;
}

export function createCallerService(options: CallerServiceOptions): CallerService {
  const { store, configuration, submissions, reader, isStoreLost, events } = options;

  function judge(caller: Caller): Result<Access, DenialReason> {
    const inForce = configuration.current;
    if (inForce === undefined) return err('no-configuration');
    const queue = findQueue(inForce.configuration, caller.host, caller.path);
    if (queue === undefined) return err('no-queue');
    const rest = caller.path.slice(queue.prefix.length);
    if (queue.open && caller.key === undefined) {
      return ok({ queue, team: OPEN_TEAM, rest, inForce });
    }
    const team = findTeamByKey(inForce.configuration, caller.key ?? '');
    if (team !== undefined) return ok({ queue, team: team.name, rest, inForce });
    return queue.open ? ok({ queue, team: OPEN_TEAM, rest, inForce }) : err('unknown-key');
  }

  async function authorize(caller: Caller): Promise<Result<Access, DenialReason>> {
    const first = judge(caller);
    if (first.isOk()) return first;
    if (performance.now() - options.confirmedAt() > DENIAL_FRESHNESS_MS)
      await options.refreshConfiguration();
    const second = judge(caller);
    if (second.isErr()) {
      events.info('access-denied', {
        denial: second.error,
        host: caller.host,
        path: caller.path,
        version: configuration.current?.configuration.version,
        ageMs: Math.round(performance.now() - options.confirmedAt()),
      });
    }
    return second;
  }

  async function submit(
    caller: Caller,
    work: JobSubmission,
    deadlineAt: number,
  ): Promise<SubmitAnswer> {
    if (isStoreLost()) {
      events.info('job-submitted', {
        job: work.id,
        outcome: 'refused',
        reason: 'the store cannot be reached',
        ageMs: Math.round(performance.now() - options.confirmedAt()),
      });
      return { kind: 'refused', reason: 'the store cannot be reached' };
    }
    for (let attempt = 0; attempt < MAX_REJUDGEMENTS; attempt += 1) {
      const judged = await authorize(caller);
      if (judged.isErr()) return { kind: 'denied', denial: judged.error };
      const { queue, team, inForce } = judged.value;
      const job: Job = {
        ...work,
        team,
        queue: queue.name,
        service: queue.service,
        acceptedAtMs: Date.now(),
        acceptedBy: options.host,
      };
      const condition = { key: options.configurationKey, revision: inForce.revision };
      const outcome = await submissions.submit(job, condition, deadlineAt);
      if (outcome.kind === 'replaced') {
        if (outcome.configuration !== undefined) options.adopt(outcome.configuration);
        else await options.refreshConfiguration();
        continue;
      }
      events.info('job-submitted', {
        job: job.id,
        outcome: outcome.kind,
        queue: job.queue,
        team: job.team,
        version: inForce.configuration.version,
        tookMs: Date.now() - job.acceptedAtMs,
        ...(outcome.kind === 'refused' ? { reason: outcome.reason } : {}),
      });
      return outcome;
    }
    return { kind: 'refused', reason: 'the configuration keeps changing' };
  }

  return {
    authorize,
    submit,
    state: async (id) => {
      const known = reader.finalState(id);
      if (known !== undefined) return known;
      if (isStoreLost()) {
        events.info('job-state-unavailable', { job: id, failure: 'the store cannot be reached' });
        return 'unavailable';
      }
      const state = await reader.state(id);
      if (state.isErr()) {
        events.warn('job-state-unavailable', { job: id, failure: state.error.detail });
        return 'unavailable';
      }
      return state.value ?? 'no-such-job';
    },
    cancel: async (id, deadlineAt) => {
      const state = await reader.state(id);
      if (state.isOk() && state.value !== undefined && isFinal(state.value)) return 'cancelled';
      const outcome = await cancelJob({ store, isStoreLost, events, job: id, deadlineAt });
      events.info('job-cancel-answered', { job: id, outcome });
      return outcome;
    },
    pending: async (queue) => {
      const pending = await reader.pending(queue);
      if (pending.isOk()) return pending.value;
      events.warn('backlog-unavailable', { queue, failure: pending.error.detail });
      return undefined;
    },
  };
}
