/**
 * Handles a store that rejects some hosts and serves the others: a host that cannot reach the store forwards the
 * calls of its callers to the leader, which answers them like calls of its own callers. Otherwise callers would
 * have to retry after a second, which exceeds the slack of urgent work.
 */
import type { Result } from 'neverthrow';
import type { EventLog } from '../observability/index.js';
import type {
  Caller,
  CallerService,
  StateAnswer,
  SubmitAnswer,
  JobSubmission,
} from './caller-service.js';
import type { CancellationOutcome } from './cancellations.js';

/** A caller's call as it is forwarded to the leader; `remainingMs` is the time left until its deadline. */
export type RelayedCall =
  | {
      readonly operation: 'submit';
      readonly caller: Caller;
      readonly work: JobSubmission;
      readonly remainingMs: number;
    }
  | { readonly operation: 'state'; readonly job: string }
  | { readonly operation: 'cancel'; readonly job: string; readonly remainingMs: number };

export type RelayedAnswer =
  | { readonly operation: 'submit'; readonly answer: SubmitAnswer }
  | { readonly operation: 'state'; readonly answer: StateAnswer }
  | { readonly operation: 'cancel'; readonly answer: CancellationOutcome };

/** `not-sent`: there is no usable link to a leader. `no-answer`: the leader may have executed the call. */
export type RelayFailure = 'not-sent' | 'no-answer';

/** Sends a call to the leader and waits at most `timeoutMs` for its answer. */
export type RelaySender = (
  call: RelayedCall,
  timeoutMs: number,
) => Promise<Result<RelayedAnswer, RelayFailure>>;

export interface RelayOptions {
  /** Service of this host, which uses its own connection to the store. */
  readonly local: CallerService;
  readonly isStoreLost: () => boolean;
  readonly send: RelaySender;
  readonly events: EventLog;
}

/**
 * Above the slowest answer of a slow store that was seen on the sites, 93 times 4 ms. If the link is cut, the caller
 * is told early that the outcome is unknown, so that it can ask another host.
 */
const RELAY_TIMEOUT_MS = 600;
/** With less time left, the call is not forwarded. */
const MIN_REMAINING_MS = 50;

export function createRelayingService(options: RelayOptions): CallerService {
  const { local, isStoreLost, events } = options;

  async function relay(
    job: string,
    call: RelayedCall,
    timeoutMs = RELAY_TIMEOUT_MS,
  ): Promise<Result<RelayedAnswer, RelayFailure>> {
    const sentAt = performance.now();
    const outcome = await options.send(call, Math.min(timeoutMs, RELAY_TIMEOUT_MS));
    const answer = outcome.isOk() ? outcome.value.answer : outcome.error;
    events.info('call-relayed', {
      job,
      operation: call.operation,
      answer: typeof answer === 'string' ? answer : answer.kind,
      tookMs: Math.round(performance.now() - sentAt),
      storeLost: isStoreLost(),
    });
    return outcome;
  }

  async function relaySubmission(
    caller: Caller,
    work: JobSubmission,
    deadlineAt: number,
    localAnswer: SubmitAnswer,
  ): Promise<SubmitAnswer> {
    const remainingMs = deadlineAt - performance.now();
    if (remainingMs < MIN_REMAINING_MS) return localAnswer;
    const call = { operation: 'submit', caller, work, remainingMs } as const;
    const outcome = await relay(work.id, call, remainingMs);
    if (outcome.isErr()) return outcome.error === 'not-sent' ? localAnswer : { kind: 'unknown' };
    if (outcome.value.operation !== 'submit') return { kind: 'unknown' };
    const { answer } = outcome.value;
    // If the outcome of this host's own write is unknown, it may take effect after the leader refused the job.
    return localAnswer.kind === 'unknown' && answer.kind !== 'accepted' ? localAnswer : answer;
  }

  return {
    authorize: (caller) => local.authorize(caller),
    pending: (queue) => local.pending(queue),
    submit: async (caller, work, deadlineAt) => {
      const answer = await local.submit(caller, work, deadlineAt);
      if (answer.kind === 'accepted') return answer;
      if (answer.kind === 'denied' && answer.denial !== 'unconfirmed') return answer;
      // The leader decides by the same records.
      if (answer.kind === 'refused' && answer.retryAfterS !== undefined) return answer;
      return relaySubmission(caller, work, deadlineAt, answer);
    },
    state: async (id) => {
      const state = await local.state(id);
      if (state !== 'unavailable') return state;
      const outcome = await relay(id, { operation: 'state', job: id });
      return outcome.isOk() && outcome.value.operation === 'state' ? outcome.value.answer : state;
    },
    cancel: async (id, deadlineAt) => {
      const cancelled = await local.cancel(id, deadlineAt);
      const remainingMs = deadlineAt - performance.now();
      if (cancelled !== 'unknown' || remainingMs < MIN_REMAINING_MS) return cancelled;
      const outcome = await relay(id, { operation: 'cancel', job: id, remainingMs }, remainingMs);
      return outcome.isOk() && outcome.value.operation === 'cancel'
        ? outcome.value.answer
        : cancelled;
    },
  };
}

/** Answers a call that another host has forwarded. */
export async function answerRelayedCall(
  service: CallerService,
  call: RelayedCall,
): Promise<RelayedAnswer> {
  const { operation } = call;
  if (operation === 'state') return { operation, answer: await service.state(call.job) };
  const deadlineAt = performance.now() + call.remainingMs;
  if (operation === 'cancel') {
    return { operation, answer: await service.cancel(call.job, deadlineAt) };
  }
  return { operation, answer: await service.submit(call.caller, call.work, deadlineAt) };
}
