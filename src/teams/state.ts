/**
 * What one owner knows of its part of one team's limit. Only confirmed writes raise `belief`; an
 * amount that is being given up counts as given from the moment of the attempt.
 */
import { isUnacknowledged, partOf, sumOfParts, takenFrom, type AllotmentRecord } from './record.js';

/** Tasks that were charged to another owner when they were found on a worker taken over. */
export interface Adoption {
  /** Tasks that still run. */
  running: number;
  /** Charges moved into this owner's part, including those of tasks that have ended since. */
  moved: number;
  /** Running tasks whose charge was no longer in the former owner's part when it was to be moved. */
  uncovered: number;
  /** Whether the former owner knows of the moves or is released, so that it cannot use them. */
  acknowledged: boolean;
}

/** One write that is attempted until its effect is known. */
export interface Plan {
  /** Number of the write among all writes of this owner. */
  readonly number: number;
  /** Charges to move, by former owner. */
  readonly moves: ReadonlyMap<string, number>;
  /** Whether a task was refused for want of allotment since the last plan. */
  readonly shortage: boolean;
}

export interface TeamState {
  readonly team: string;
  limit: number;
  revision: number;
  /** Limit in the record that was last read; -1 before. */
  limitInRecord: number;
  /** The sum of all parts is at most this. */
  maxSumOfParts: number;
  /** Part in the record, with what others took and this owner has not acknowledged. */
  confirmedPart: number;
  /** Running tasks that this owner acquired. */
  used: number;
  readonly adoptions: Map<string, Adoption>;
  /** Amount that an unconfirmed write gives up. */
  unconfirmedReturn: number;
  shortage: boolean;
  wantsMore: boolean;
  /** Unassigned part of the limit when the record was last read. */
  spareInRecord: number;
  /** -Infinity before the first read. */
  readAt: number;
  /** A write that may have taken effect. */
  plan: Plan | undefined;
  /** How often the known record was found to be doubtful, and how often before the last read. */
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
 * Charges of ended tasks stay reserved until the former owner cannot use them any more. A charge
 * that was not moved is backed by the owner that moved it before, and counts only while it runs.
 */
export function reservedBy({ running, moved, uncovered, acknowledged }: Adoption): number {
  return acknowledged ? Math.min(running, moved + uncovered) : moved + Math.min(running, uncovered);
}

function reserved(state: TeamState): number {
  let sum = 0;
  for (const adoption of state.adoptions.values()) sum += reservedBy(adoption);
  return sum;
}

/** Running tasks whose charge has not been moved yet. */
export function pendingOf({ running, moved, uncovered }: Adoption): number {
  return Math.max(0, running - moved - uncovered);
}

/** Negative if more is charged than the part covers. */
export function unusedOf(state: TeamState): number {
  return state.confirmedPart - state.used - reserved(state);
}

/**
 * Tasks that may start now. While the parts may exceed a lowered limit, every owner keeps the whole
 * excess unused, because it cannot know how much of their parts the others use.
 */
export function available(state: TeamState): number {
  if (state.confirmedInvalidations < state.invalidations) return 0;
  const excess = Math.max(0, state.maxSumOfParts - state.limit);
  return Math.max(0, unusedOf(state) - Math.max(excess, state.unconfirmedReturn));
}

/** Adopts a record that is known to be in force, after the plan has taken effect in it. */
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

/** Forgets charges that must not cover a later adoption, because other tasks may use them. */
export function trimAdoption(adoption: Adoption) {
  const { running, acknowledged } = adoption;
  if (acknowledged) adoption.moved = Math.min(adoption.moved, running);
  const room = acknowledged ? running - adoption.moved : running;
  adoption.uncovered = Math.min(adoption.uncovered, room);
}
