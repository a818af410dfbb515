/**
 * The view that one owner has of its part of one team's limit. Only confirmed writes raise
 * `confirmedPart`; an amount that is returned counts as gone from the first attempt of the write.
 */
import { isUnacknowledged, partOf, sumOfParts, takenFrom, type AllotmentRecord } from './record.js';

/** Tasks of another owner that were found on a worker when it was taken over. */
export interface Adoption {
  /** Number of tasks that still run. */
  running: number;
  /** Charges moved into this owner's part, including those of tasks that have since ended. */
  moved: number;
  /** Running tasks whose charge could not be moved, because the former owner's part lacked it. */
  uncovered: number;
  /** Whether the former owner has acknowledged the moves or is released, so it cannot use them. */
  acknowledged: boolean;
}

/** One write that is repeated until its outcome is known. */
export interface Plan {
  /** Number of the write among all writes of this owner. */
  readonly number: number;
  /** Charges to move, by former owner. */
  readonly moves: ReadonlyMap<string, number>;
  /** Whether a task could not start for lack of allotment since the last plan. */
  readonly shortage: boolean;
}

export interface TeamState {
  readonly team: string;
  limit: number;
  revision: number;
  /** Limit in the record when it was last read; -1 before the first read. */
  limitInRecord: number;
  /** Upper bound of the sum of all parts. */
  maxSumOfParts: number;
  /** Part in the record, plus charges that others moved and this owner has not acknowledged. */
  confirmedPart: number;
  /** Running tasks that this owner acquired. */
  used: number;
  readonly adoptions: Map<string, Adoption>;
  /** Amount that an unconfirmed write returns. */
  unconfirmedReturn: number;
  shortage: boolean;
  /** Whether the record has an open request of this owner. */
  wantsMore: boolean;
  /** Unassigned part of the limit when the record was last read. */
  spareInRecord: number;
  /** -Infinity before the first read. */
  readAt: number;
  /** A write that may have taken effect. */
  plan: Plan | undefined;
  /** Number of invalidations, in total and before the last confirmed read. */
  invalidations: number;
  confirmedInvalidations: number;
}

export function createTeamState(team: string): TeamState {
  return {
    team,
    limit: 0,
    revision: -1,
    limitInRecord: -1,
    maxSumOfParts: 0,
    confirmedPart: 0,
    used: 0,
    adoptions: new Map(),
    unconfirmedReturn: 0,
    shortage: false,
    wantsMore: false,
    spareInRecord: 0,
    readAt: -Infinity,
    plan: undefined,
    invalidations: 0,
    confirmedInvalidations: 0,
  };
}

/**
 * Charges of ended tasks stay reserved until the former owner can no longer use them. A charge that
 * was not moved is covered by the owner that moved it earlier, and counts only while its task runs.
 */
export function reservedBy({ running, moved, uncovered, acknowledged }: Adoption): number {
  return acknowledged ? Math.min(running, moved + uncovered) : moved + Math.min(running, uncovered);
}

function reserved(state: TeamState): number {
  let sum = 0;
  for (const adoption of state.adoptions.values()) sum += reservedBy(adoption);
  return sum;
}

/** Number of running tasks whose charge has not been moved yet. */
export function pendingOf({ running, moved, uncovered }: Adoption): number {
  return Math.max(0, running - moved - uncovered);
}

/** Negative if more is charged than the part covers. */
export function unusedOf(state: TeamState): number {
  return state.confirmedPart - state.used - reserved(state);
}

/**
 * Number of tasks that may start now. While the parts may exceed a lowered limit, every owner keeps
 * the whole excess unused, because it cannot know how much of their parts other owners use.
 */
export function available(state: TeamState): number {
  if (state.confirmedInvalidations < state.invalidations) return 0;
  const excess = Math.max(0, state.maxSumOfParts - state.limit);
  return Math.max(0, unusedOf(state) - Math.max(excess, state.unconfirmedReturn));
}

/** Updates the state from a record that is in force and in which the plan has taken effect. */
export function confirm(
  state: TeamState,
  change: { record: AllotmentRecord; plan: Plan; owner: string; now: number },
) {
  const { record, plan, owner, now } = change;
  const own = partOf(record, owner);
  if (record.revision > state.revision) {
    state.limit = record.limit;
    state.revision = record.revision;
  }
  state.confirmedPart = own.part + takenFrom(own);
  state.wantsMore = own.wanted > 0;
  for (const [from, amount] of plan.moves) {
    const adoption = state.adoptions.get(from);
    const moved = own.writes === plan.number ? (own.moves?.[from] ?? 0) : 0;
    if (adoption) {
      adoption.moved += moved;
      adoption.uncovered += amount - moved;
    }
  }
  const acknowledged = !isUnacknowledged(record, owner);
  for (const [from, adoption] of state.adoptions) {
    adoption.acknowledged = acknowledged;
    trimAdoption(adoption);
    if (adoption.running === 0 && adoption.moved === 0) state.adoptions.delete(from);
  }
  state.limitInRecord = record.limit;
  const sum = sumOfParts(record);
  state.maxSumOfParts = Math.max(record.limit, sum);
  state.spareInRecord = Math.max(0, record.limit - sum);
  state.unconfirmedReturn = 0;
  state.plan = undefined;
  state.readAt = now;
}

/** Drops charges that must not cover a later adoption, because other tasks may use them. */
export function trimAdoption(adoption: Adoption) {
  const { running, acknowledged } = adoption;
  if (acknowledged) adoption.moved = Math.min(adoption.moved, running);
  const limit = acknowledged ? running - adoption.moved : running;
  adoption.uncovered = Math.min(adoption.uncovered, limit);
}
