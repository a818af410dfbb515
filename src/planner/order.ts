/**
 * Order in which waiting steps get workers when there is more work than capacity. Work that can still be on
 * time precedes late work, and late work precedes work whose result is of no use any more. Urgent classes
 * precede the others, and within a class the step with the least slack comes first. Work beyond a team's
 * share comes last, so that one team at many times its usual rate does not delay the others.
 */
import type { WaitingStep } from './candidates.js';

/** Time left until the job must start in order to be on time; negative if it is late. */
export function slackMs(step: WaitingStep, nowMs: number): number {
  return step.objectiveAtMs - nowMs - step.remainingMs;
}

/** Estimates are rough, so a job counts as late only if it would miss its objective by more than this. */
const LATE_TOLERANCE_MS = 250;

export function isLate(step: WaitingStep, nowMs: number): boolean {
  return slackMs(step, nowMs) < -LATE_TOLERANCE_MS;
}

/** 0: can be on time; 1: late, but the result is still of use; 2: the result is of no use any more. */
function lateness(step: WaitingStep, nowMs: number): number {
  if (nowMs + step.remainingMs > step.uselessAtMs) return 2;
  return isLate(step, nowMs) ? 1 : 0;
}

/** Returns the steps in the order in which they get workers. */
export function orderSteps(steps: readonly WaitingStep[], nowMs: number): WaitingStep[] {
  const rank = (step: WaitingStep) => (step.beyondShare ? 3 : 0) + lateness(step, nowMs);
  const urgency = (step: WaitingStep) => (step.priority === 0 ? 0 : 1);
  return steps
    .map((step) => ({
      step,
      rank: rank(step),
      urgency: urgency(step),
      slack: slackMs(step, nowMs),
    }))
    .sort(
      (left, right) =>
        left.rank - right.rank || left.urgency - right.urgency || left.slack - right.slack,
    )
    .map(({ step }) => step);
}
