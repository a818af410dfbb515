/**
 * Work that a new job waits for: which waiting steps count, how much work they are, and whether late work is held up.
 */
import type { PlacementBarrier, WaitingStep } from '../planner/index.js';
import { BEYOND_RANK, rankOf, slackMs } from '../planner/index.js';
import type { FlowMeter } from './flow-meter.js';

/** A step with tasks that wait for a worker. */
export interface WaitingWork {
  readonly step: Pick<
    WaitingStep,
    | 'service'
    | 'team'
    | 'priority'
    | 'beyondShare'
    | 'objectiveAtMs'
    | 'uselessAtMs'
    | 'remainingMs'
    | 'size'
    | 'workMs'
    | 'gang'
    | 'requiredLabel'
  >;
  readonly queue: string;
  /** Number of tasks that wait now. */
  readonly waiting: number;
  /** What kept the step from being placed when it was last tried; undefined if it was not tried. */
  readonly barrier: PlacementBarrier | undefined;
}

/** Late work that is held up shows an overload if it is at least this part of the work of its class that can be on time. */
const MIN_LATE_PART = 0.1;
/**
 * Late work counts as held up after this part of the time from its objective until it is of no use. In a cell at its
 * usual load, work that is late for a moment is done well before that.
 */
const HELD_UP_PART = 0.5;
/** Part of an estimate that counts while the real durations of the queue are not known. Many estimates are too long. */
const UNKNOWN_QUEUE_PART = 0.5;
/** Work that a single estimate counts for in such a queue, so that one odd job does not close the cell to all others. */
const MAX_UNKNOWN_MS = 5000;
/** A waiting step with the figures that decide which jobs wait for it. */
export interface Rival {
  readonly rank: number;
  readonly urgency: number;
  readonly slack: number;
  /** Part of the time between objective and uselessness that has passed. */
  readonly lateness: number;
  readonly cores: number;
  readonly coreMs: number;
  readonly accelerators: number;
  /** Whether the leader has no time to start it. */
  readonly waitsForLeader: boolean;
}

/** Work that waits for the leader takes room as soon as it is started. */
const ROOM_BARRIERS: ReadonlySet<WaitingWork['barrier']> = new Set([undefined, 'room', 'leader']);

export const urgencyOf = ({ priority }: { readonly priority: number }) => (priority === 0 ? 0 : 1);

/**
 * Whether other work waits for this. A step that is held up by its team's limit, by missing permits or by the lack of
 * suitable workers takes no room. Nor does a gang that waits for several workers, whose reservation is short, take what
 * becomes free piece by piece, and a label names few of the workers.
 */
export function competesForRoom(work: WaitingWork): boolean {
  return canPrecede(work) && ROOM_BARRIERS.has(work.barrier);
}

/** Whether other work of the team waits for this under the team's limit. */
export function competesUnderLimit(work: WaitingWork): boolean {
  return canPrecede(work) && work.barrier === 'limit';
}

function canPrecede({ step, waiting }: WaitingWork): boolean {
  return waiting > 0 && !step.gang && step.requiredLabel === undefined;
}

export function describeRival(
  { step, queue, waiting, barrier }: WaitingWork,
  backlog: { readonly nowMs: number; readonly flow: Pick<FlowMeter, 'usualTask'> },
): Rival {
  const cores = step.size.processors * waiting;
  return {
    rank: rankOf(step, backlog.nowMs),
    urgency: urgencyOf(step),
    slack: slackMs(step, backlog.nowMs),
    lateness: -slackMs(step, backlog.nowMs) / Math.max(1, step.uselessAtMs - step.objectiveAtMs),
    cores,
    coreMs: cores * expectedWorkMs(step.workMs, backlog.flow.usualTask(queue)),
    accelerators: step.size.accelerators,
    waitsForLeader: barrier === 'leader',
  };
}

/** The usual work of the queue if a single estimate is longer, since estimates may be wrong by a factor. */
export function expectedWorkMs(
  estimateMs: number,
  usual: { readonly workMs: number } | undefined,
): number {
  if (usual === undefined) return Math.min(MAX_UNKNOWN_MS, estimateMs * UNKNOWN_QUEUE_PART);
  return Math.min(estimateMs, usual.workMs);
}

/**
 * Whether late work of the class has waited for long. Only then is a job taken to be overtaken by what arrives: the
 * arrivals alone come close to the rate in any busy cell, and would make a short backlog a long wait.
 */
export function isLateHeldUp(rivals: readonly Rival[], urgency: number, best: number): boolean {
  let onTime = 0;
  let late = 0;
  for (const rival of rivals) {
    if (rival.urgency !== urgency) continue;
    if (rival.rank === best) onTime += rival.coreMs;
    else if (rival.rank > best && rival.rank < best + BEYOND_RANK) {
      if (rival.lateness >= HELD_UP_PART) late += rival.coreMs;
    }
  }
  return late > 0 && late >= MIN_LATE_PART * onTime;
}
