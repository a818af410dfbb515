/**
 * Order in which waiting steps get workers when there is more work than capacity. Work that can still be on
 * time precedes late work, and late work precedes work whose result is of no use any more. Urgent classes
 * precede the others, and within a class the step with the least slack comes first. Work beyond a team's
 * share comes last, so that one team at many times its usual rate does not delay the others.
 */
import type { WaitingStep } from './candidates.js';

/** Time left until the job must start in order to be on time; negative if it is late. */
export function slackMs(
  step: Pick<WaitingStep, 'objectiveAtMs' | 'remainingMs'>,
  nowMs: number,
): number {
  return step.objectiveAtMs - nowMs - step.remainingMs;
}

/** Estimates are rough, so a job counts as late only if it would miss its objective by more than this. */
export const LATE_TOLERANCE_MS = 250;

type Timing = Pick<WaitingStep, 'objectiveAtMs' | 'uselessAtMs' | 'remainingMs'>;

export function isLate(step: Timing, nowMs: number): boolean {
  return slackMs(step, nowMs) < -LATE_TOLERANCE_MS;
}

/** 0: can be on time; 1: late, but the result is still of use; 2: the result is of no use any more. */
function lateness(step: Timing, nowMs: number): number {
  if (nowMs + step.remainingMs > step.uselessAtMs) return 2;
  return isLate(step, nowMs) ? 1 : 0;
}

/** Rank of steps beyond their team's share that can be on time. */
export const BEYOND_RANK = 3;

/** Lateness of a step within its team's share, and above that beyond it; steps of a lower rank get workers first. */
export function rankOf(step: Timing & Pick<WaitingStep, 'beyondShare'>, nowMs: number): number {
  return (step.beyondShare ? BEYOND_RANK : 0) + lateness(step, nowMs);
}

/** Returns the steps in the order in which they get workers. */
export function orderSteps(steps: readonly WaitingStep[], nowMs: number): WaitingStep[] {
  const urgency = (step: WaitingStep) => (step.priority === 0 ? 0 : 1);
  return steps
    .map((step) => ({
      step,
      rank: rankOf(step, nowMs),
      urgency: urgency(step),
      slack: slackMs(step, nowMs),
    }))
    .sort(
      (left, right) =>
        left.rank - right.rank || left.urgency - right.urgency || left.slack - right.slack,
    )
    .map(({ step }) => step);
}
