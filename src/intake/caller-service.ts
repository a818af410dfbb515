/**
 * Operations for callers at any host: submit, query, cancel and count jobs. Access is checked against
 * the configuration in force, which is read again if it was confirmed too long ago: a new key or queue, or the removal
 * of one, may not have reached this host yet. A host that cannot confirm its configuration denies nothing by it. One that
 * is cut off from the store goes on granting what it knows.
 */
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Admission, WaitGate } from '../admission/index.js';
import type { Job, JobState, QueueTerms } from '../jobs/index.js';
import { estimateJobBytes, estimateOccurrenceBytes, isFinal } from '../jobs/index.js';
import type { EventFields, EventLog, Meters } from '../observability/index.js';
import type { ConfigurationHolder, ActiveConfiguration, Queue } from '../queues/index.js';
import { findQueue, findTeamByKey } from '../queues/index.js';
import type { StoreEntry, KeyValueStore } from '../records/index.js';
import { cancelJob } from './cancellations.js';
import type { CancellationOutcome } from './cancellations.js';
import type { JobReader } from './job-reader.js';
import type { SubmissionBatcher } from './submissions.js';

/** Team of jobs that were submitted without a known key to an open queue. */
const ANONYMOUS_TEAM = '';
/** Maximum age of the last confirmation of the configuration when a caller arrives that is denied access. */
const DENIAL_FRESHNESS_MS = 250;
/** The same for a caller that is granted access, as a part of the time in which changes must be in force. */
const GRANT_FRESHNESS_PART = 0.75;
/** Time in which changes must be in force where the settings do not say. */
const DEFAULT_APPLY_MS = 2000;
/** Concurrent callers share reads, so that the first one may have been sent before a caller arrived. */
const MAX_CONFIRMING_READS = 2;
/** Maximum attempts to submit while the configuration keeps changing. */
const MAX_AUTHORIZATION_ATTEMPTS = 4;
/** Open work ends job by job, so room for another one comes within seconds. */
const FULL_RETRY_AFTER_S = 3;

export interface Caller {
  readonly host: string;
  readonly path: string;
  /** API key of the caller; undefined if it sent none. */
  readonly key: string | undefined;
}

export interface Access {
  readonly queue: Queue;
  readonly team: string;
  /** Part of the path after the prefix of the queue. */
  readonly rest: string;
  readonly inForce: ActiveConfiguration;
}

/** The part of a job that its caller specifies. */
export type JobSubmission = Pick<Job, 'id' | 'spec' | 'steps' | 'schedule'>;

/** `unconfirmed`: the configuration that this host has denies access, but a later one may grant it. */
export type DenialReason = 'no-configuration' | 'no-queue' | 'unknown-key' | 'unconfirmed';

export type SubmitAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'denied'; readonly denial: DenialReason }
  | {
      readonly kind: 'refused';
      readonly reason: string;
      /** Time in seconds after which the caller should ask again, if the usual one is too short. */
      readonly retryAfterS?: number;
    }
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
  /** Adopts a configuration entry that was read. */
  readonly adopt: (entry: StoreEntry) => void;
  /** When the configuration was last confirmed as current, in monotonic milliseconds. */
  readonly confirmedAt: () => number;
  /** Whether the store has been unreachable for so long that callers should try another host. */
  readonly isStoreLost: () => boolean;
  /** Whether a read of the configuration can be expected to succeed. */
  readonly canRefresh: () => boolean;
  /** Time in milliseconds after which each change of the configuration must be in force. */
  readonly configurationApplyMs?: number | undefined;
  /** Reads the configuration from the store. */
  readonly refreshConfiguration: () => Promise<void>;
  readonly submissions: SubmissionBatcher;
  readonly admission: Admission;
  /** Decides by the wait that a new job has to expect. */
  readonly waits: WaitGate;
  readonly reader: JobReader;
  readonly events: EventLog;
  readonly meters: Pick<Meters, 'admissionRefusals' | 'accessAgeSeconds'>;
}

/** A refusal at admission; `label` names its reason in the metrics, and `fields` are those of its log line. */
interface Refusal {
  readonly label: string;
  readonly reason: string;
  readonly retryAfterS: number;
  readonly fields: EventFields;
}

function termsOf({ priority, maxAttempts, stretch, targetLatencyMs, advice }: Queue): QueueTerms {
  const terms = { priority, maxAttempts, stretch, targetLatencyMs };
  return advice === undefined ? terms : { ...terms, advice };
}

/** The answer where a denial cannot be confirmed. */
function toUnconfirmed(denial: DenialReason): DenialReason {
  return denial === 'no-configuration' ? denial : 'unconfirmed';
}

export function createCallerService(options: CallerServiceOptions): CallerService {
  const { store, configuration, submissions, admission, waits, reader, events } = options;
  const { isStoreLost, configurationApplyMs = DEFAULT_APPLY_MS } = options;

  function checkAccess(caller: Caller): Result<Access, DenialReason> {
    const inForce = configuration.current;
    if (inForce === undefined) return err('no-configuration');
    const queue = findQueue(inForce.configuration, caller.host, caller.path);
    if (queue === undefined) return err('no-queue');
    const rest = caller.path.slice(queue.prefix.length);
    if (queue.open && caller.key === undefined) {
      return ok({ queue, team: ANONYMOUS_TEAM, rest, inForce });
    }
    const team = findTeamByKey(inForce.configuration, caller.key ?? '');
    if (team !== undefined) return ok({ queue, team: team.name, rest, inForce });
    return queue.open ? ok({ queue, team: ANONYMOUS_TEAM, rest, inForce }) : err('unknown-key');
  }

  async function authorize(caller: Caller): Promise<Result<Access, DenialReason>> {
    const access = await decideAccess(caller);
    const ageMs = performance.now() - options.confirmedAt();
    const decision = access.isOk() ? 'granted' : access.error;
    if (Number.isFinite(ageMs)) {
      options.meters.accessAgeSeconds.observe({ decision }, ageMs / 1000);
    }
    if (access.isErr()) {
      events.info('access-denied', {
        denial: access.error,
        host: caller.host,
        path: caller.path,
        version: configuration.current?.configuration.version,
        revision: configuration.current?.revision,
        ageMs: Math.round(ageMs),
      });
    }
    return access;
  }

  async function decideAccess(caller: Caller): Promise<Result<Access, DenialReason>> {
    const arrivedAt = performance.now();
    for (let reads = 0; ; reads += 1) {
      const access = checkAccess(caller);
      const maxAgeMs = access.isOk()
        ? configurationApplyMs * GRANT_FRESHNESS_PART
        : DENIAL_FRESHNESS_MS;
      if (options.confirmedAt() >= arrivedAt - maxAgeMs) return access;
      if (reads === MAX_CONFIRMING_READS || !options.canRefresh()) {
        return access.orElse((denial) => err(toUnconfirmed(denial)));
      }
      await options.refreshConfiguration();
    }
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
    const bytes = estimateJobBytes(work) + estimateOccurrenceBytes(work);
    for (let attempt = 0; attempt < MAX_AUTHORIZATION_ATTEMPTS; attempt += 1) {
      const authorized = await authorize(caller);
      if (authorized.isErr()) return { kind: 'denied', denial: authorized.error };
      const { queue, team, inForce } = authorized.value;
      const refusal = findRefusal(work, bytes, authorized.value);
      if (refusal !== undefined) return refuseUnlessKnown(work.id, queue.name, refusal);
      const job: Job = {
        ...work,
        team,
        queue: queue.name,
        service: queue.service,
        terms: termsOf(queue),
        acceptedAtMs: Date.now(),
        acceptedBy: options.host,
        configurationRevision: inForce.revision,
      };
      const condition = { key: options.configurationKey, revision: inForce.revision };
      const outcome = await submissions.submit(job, condition, deadlineAt);
      if (outcome.kind === 'replaced') {
        if (outcome.configuration !== undefined) options.adopt(outcome.configuration);
        else await options.refreshConfiguration();
        continue;
      }
      if (outcome.kind === 'accepted') {
        admission.recordAccepted(bytes);
        waits.recordAccepted(team);
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

  /** Why a job is not accepted now, although its caller may submit it. */
  function findRefusal(
    work: JobSubmission,
    bytes: number,
    { queue, team }: Access,
  ): Refusal | undefined {
    if (!admission.hasRoom(bytes)) {
      const reason = 'the cell holds as much open work as it can';
      return { label: 'open-work', reason, retryAfterS: FULL_RETRY_AFTER_S, fields: { bytes } };
    }
    const { stretch, targetLatencyMs } = queue;
    const late = waits.judge({
      queue: queue.name,
      team,
      steps: work.steps,
      stretch,
      targetLatencyMs,
      scheduled: work.schedule !== undefined,
    });
    if (late === undefined) return undefined;
    const { reason: label, retryAfterS, ...measured } = late;
    const reason = 'the job would end too late to be of use';
    const fields = { team, cause: label, ...measured };
    return { label, reason, retryAfterS, fields };
  }

  /** A job that was accepted before, at this host or at another one, is not refused when it is sent again. */
  async function refuseUnlessKnown(
    id: string,
    queue: string,
    { label, reason, retryAfterS, fields }: Refusal,
  ): Promise<SubmitAnswer> {
    const known = await reader.state(id);
    if (known.isErr()) return { kind: 'unknown' };
    if (known.value !== undefined) return { kind: 'accepted' };
    options.meters.admissionRefusals.inc({ queue, reason: label });
    events.info('job-submitted', {
      job: id,
      outcome: 'refused',
      reason,
      queue,
      ...fields,
      retryAfterS,
    });
    return { kind: 'refused', reason, retryAfterS };
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
