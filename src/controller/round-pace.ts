/**
 * Spaces planning rounds in proportion to their cost, so that planning does not delay the handling of callers, workers
 * and the store. With hundreds of waiting steps a round takes milliseconds, and every answer of the advice service and
 * every end of a run requests one; without a pause the leader would plan all the time.
 */

/** Changes that arrive within this time share a planning round. */
const MIN_PAUSE_MS = 3;
/** Longest time that a change waits for a round; urgent work has 750 ms of slack at best. */
const MAX_PAUSE_MS = 120;
/** Pause as a multiple of the round's duration, so that planning takes at most an eighth of the processor unless the pause is limited. */
const PAUSE_PER_ROUND = 7;

/** Milliseconds to wait between the end of a round that took `roundMs` and the next one. */
export function pauseAfterRound(roundMs: number): number {
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, roundMs * PAUSE_PER_ROUND));
}

/** Milliseconds to wait for a round that is requested `sinceMs` after the end of the last one. */
export function delayOfRequest(pauseMs: number, sinceMs: number): number {
  return Math.max(MIN_PAUSE_MS, pauseMs - sinceMs);
}
