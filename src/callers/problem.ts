/**
 * Problem documents (RFC 9457) and the status codes of outcomes. `done` is 200, an accepted request
 * is 202 and `unknown` is 504. No refusal uses these codes, so that a script can distinguish the
 * outcomes by the status code alone.
 */
import type { RefusalReason, RefusedOutcome, UnknownOutcome } from '../model/index.js';

/** Status code of each refusal. */
export const REFUSAL_STATUS: Readonly<Record<RefusalReason, number>> = {
  malformed: 400,
  'not-authorized': 401,
  'wrong-team': 403,
  'unknown-entry': 404,
  'id-conflict': 409,
  cancelled: 410,
  'too-large': 413,
  'id-in-future': 422,
  'never-fits': 422,
  'queue-full': 429,
  'keys-not-current': 503,
  'deadline-passed': 503,
  'no-capacity': 503,
  'store-unavailable': 503,
  'worker-refused': 503,
  'shutting-down': 503,
};

export const UNKNOWN_STATUS = 504;

const MS_PER_SECOND = 1000;

/** One validation error of a request: where it is and what to send instead. */
export interface RequestFinding {
  readonly place: string;
  readonly problem: string;
}

interface ProblemOptions {
  readonly status: number;
  readonly title: string;
  readonly detail: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly members?: Readonly<Record<string, unknown>>;
}

export function createProblem(options: ProblemOptions): Response {
  const { status, title, detail, members = {}, headers = {} } = options;
  return new Response(JSON.stringify({ title, status, detail, ...members }) + '\n', {
    status,
    headers: { 'content-type': 'application/problem+json', ...headers },
  });
}

export function createRefusal(
  refused: RefusedOutcome,
  id?: string,
  findings?: readonly RequestFinding[],
): Response {
  return createRefusalProblem(refused, 'The request was refused and did not run', { id, findings });
}

/**
 * A refusal that was decided before the home host of the caller's id was asked, so it implies nothing
 * about earlier attempts with the same id.
 */
export function createAttemptRefusal(refused: RefusedOutcome, id?: string): Response {
  const title = 'This attempt was refused and did not run';
  return createRefusalProblem(refused, title, { id, scope: 'attempt' });
}

function createRefusalProblem(
  { reason, detail, retryAfterMs }: RefusedOutcome,
  title: string,
  members: Readonly<Record<string, unknown>>,
): Response {
  return createProblem({
    status: REFUSAL_STATUS[reason],
    title,
    detail,
    headers:
      retryAfterMs === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)) },
    members: { outcome: 'refused', reason, retryAfterMs, ...members },
  });
}

export function createUnknown(unknown: UnknownOutcome, id: string): Response {
  return createProblem({
    status: UNKNOWN_STATUS,
    title: 'The request may have run',
    detail: unknown.detail,
    members: { outcome: 'unknown', id },
  });
}
