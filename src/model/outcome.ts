/**
 * The three outcomes of a request. They are never mixed: `done` carries the complete answer,
 * `refused` states that the request certainly did not run, and `unknown` that it may have run.
 */

/** Why a request was refused. Each reason is documented in docs/operating.md. */
export type RefusalReason =
  | 'malformed'
  | 'too-large'
  | 'unknown-entry'
  | 'not-authorized'
  | 'wrong-team'
  | 'keys-not-current'
  | 'id-in-future'
  | 'id-conflict'
  | 'never-fits'
  | 'queue-full'
  | 'deadline-passed'
  | 'cancelled'
  | 'no-capacity'
  | 'store-unavailable'
  | 'worker-refused'
  | 'shutting-down';

/** A complete answer of a worker. */
export interface DoneOutcome {
  readonly kind: 'done';
  /** HTTP status that the worker's task answered with. */
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly worker: string;
}

/** The request did not run and will not run. */
export interface RefusedOutcome {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  /** One sentence that tells the caller how to fix the request. */
  readonly detail: string;
  /** Delay in milliseconds after which a retry can succeed; absent if none can. */
  readonly retryAfterMs?: number;
}

/** The request may have run; only its owner can determine whether it did. */
export interface UnknownOutcome {
  readonly kind: 'unknown';
  readonly detail: string;
}

export type Outcome = DoneOutcome | RefusedOutcome | UnknownOutcome;

export function refuse(
  reason: RefusalReason,
  detail: string,
  retryAfterMs?: number,
): RefusedOutcome {
  return retryAfterMs === undefined
    ? { kind: 'refused', reason, detail }
    : { kind: 'refused', reason, detail, retryAfterMs };
}

export function unknownOutcome(detail: string): UnknownOutcome {
  return { kind: 'unknown', detail };
}
