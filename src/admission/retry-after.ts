/**
 * Chooses after how many seconds a refused caller should ask again: when the present backlog has been worked off, spread
 * over a range so that the callers do not come back together.
 */

const MIN_RETRY_S = 1;
/** Callers of a long backlog still ask again while the burst that caused it may have ended. */
const MAX_BACKLOG_S = 15;

export interface RetryOptions {
  /** Time until the backlog ahead of the job is worked off. */
  readonly backlogMs: number;
  /** Whether the job is beyond its team's share or limit; such callers come back after all others. */
  readonly beyondShare: boolean;
  /** A number from 0 up to 1. */
  readonly random: () => number;
}

/** Whole seconds: from one to two times the backlog, and beyond a team's share from two to four times. */
export function chooseRetryAfterS({ backlogMs, beyondShare, random }: RetryOptions): number {
  const backlogS = Math.min(MAX_BACKLOG_S, Math.max(MIN_RETRY_S, Math.ceil(backlogMs / 1000)));
  const first = beyondShare ? 2 * backlogS + 1 : backlogS;
  const last = beyondShare ? 4 * backlogS : 2 * backlogS;
  return first + Math.floor(random() * (last - first + 1));
}
