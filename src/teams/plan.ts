/**
 * Decides how an owner changes the record of a team: it moves adopted charges into its part,
 * acknowledges charges that others moved, returns unused parts that others need, and takes or
 * requests more.
 */
import {
  cancelCycles,
  isUnacknowledged,
  moveCharges,
  NO_RECORD,
  partOf,
  sumOfParts,
  takenFrom,
  wantedByOthers,
  withoutOwner,
  withPart,
  type AllotmentRecord,
} from './record.js';
import { pendingOf, reservedBy, unusedOf, type Plan, type TeamState } from './state.js';

/**
 * Part of the spare limit that an owner takes at once. Large chunks keep store calls rare, but may
 * leave more of a limit unusable under skewed load.
 */
export const TAKE_SHARE = 1 / 4;
/** An owner takes more once less than this fraction of its part is unused. */
export const LOW_WATER_SHARE = 1 / 4;
/** First chunk before any demand, so that a host can start tasks while the store is unavailable. */
const INITIAL_CHUNK_SHARE = 1 / 64;
/** With requests below an eighth of the limit, moving an unused limit took minutes. */
const REQUEST_SHARE = 1 / 8;
/** An owner keeps half of its unused part, because its own demand may return. */
const RETURN_SHARE = 1 / 2;

export interface PlanContext {
  readonly state: TeamState;
  readonly plan: Plan;
  readonly owner: string;
  readonly draining: boolean;
  /** Whether to write even without a change, to invalidate an earlier write of unknown outcome. */
  readonly forced: boolean;
}

/** Creates a plan for the adoptions and shortages since the last one. */
export function startPlan(state: TeamState, number: number): Plan {
  const moves = new Map<string, number>();
  for (const [from, adoption] of state.adoptions) {
    const pending = pendingOf(adoption);
    if (pending > 0) moves.set(from, pending);
  }
  const { shortage } = state;
  state.shortage = false;
  return { number, moves, shortage };
}

/** The record after the plan; undefined if the plan has already taken effect or changes nothing. */
export function applyPlan(
  current: AllotmentRecord | undefined,
  context: PlanContext,
): AllotmentRecord | undefined {
  const { state, plan, owner } = context;
  const found = current ?? NO_RECORD;
  if (partOf(found, owner).writes >= plan.number) return undefined;
  let next = withLimit(found, state);
  next = moveCharges(next, owner, plan.moves);
  next = cancelCycles(next, owner);
  const demand = demandAfter(next, context);
  next = acknowledge(next, context, demand);
  next = returnUnused(next, context, demand);
  next = takeOrRequest(next, context, demand);
  const own = partOf(next, owner);
  const unusedAfter = own.part + takenFrom(own) - demand;
  state.unconfirmedReturn = Math.max(state.unconfirmedReturn, unusedOf(state) - unusedAfter);
  if (!context.forced && isEquivalent(found, next)) return undefined;
  state.plan = plan;
  const idle = own.part === 0 && takenFrom(own) === 0 && own.wanted === 0;
  return idle ? withoutOwner(next, owner) : withPart(next, owner, { ...own, writes: plan.number });
}

function withLimit(record: AllotmentRecord, state: TeamState): AllotmentRecord {
  if (record.revision >= state.revision || record.limit === state.limit) return record;
  return { ...record, limit: state.limit, revision: state.revision };
}

/** Number of tasks that this owner's part must cover once the plan has taken effect. */
function demandAfter(record: AllotmentRecord, { state, plan, owner }: PlanContext): number {
  const acknowledged = !isUnacknowledged(record, owner);
  let demand = state.used;
  for (const [from, adoption] of state.adoptions) {
    const amount = partOf(record, owner).moves?.[from] ?? 0;
    const moved = adoption.moved + amount;
    const uncovered = adoption.uncovered + (plan.moves.get(from) ?? 0) - amount;
    demand += reservedBy({ ...adoption, moved, uncovered, acknowledged });
  }
  return demand;
}

function acknowledge(record: AllotmentRecord, context: PlanContext, demand: number) {
  const own = partOf(record, context.owner);
  const taken: Record<string, number> = {};
  let needed = Math.max(0, demand - own.part);
  for (const [adopter, amount] of Object.entries(own.taken)) {
    const kept = Math.min(amount, needed);
    needed -= kept;
    if (kept > 0) taken[adopter] = kept;
  }
  return withPart(record, context.owner, { ...own, taken });
}

function returnUnused(
  record: AllotmentRecord,
  context: PlanContext,
  demand: number,
): AllotmentRecord {
  const own = partOf(record, context.owner);
  const unused = Math.max(0, own.part - demand);
  if (unused === 0) return record;
  const amount = Math.min(unused, amountToReturn(record, context, unused));
  return withPart(record, context.owner, { ...own, part: own.part - amount });
}

function amountToReturn(record: AllotmentRecord, context: PlanContext, unused: number): number {
  if (context.draining) return unused;
  const spare = record.limit - sumOfParts(record);
  if (spare < 0) return -spare;
  if (context.plan.shortage) return 0;
  const missing = Math.max(0, wantedByOthers(record, context.owner) - spare);
  return Math.min(missing, Math.ceil(unused * RETURN_SHARE));
}

function takeOrRequest(record: AllotmentRecord, context: PlanContext, demand: number) {
  const own = partOf(record, context.owner);
  const amount = context.draining ? 0 : amountToTake(record, context, demand);
  const short = context.plan.shortage && !context.draining && own.part + amount <= demand;
  const wanted = short ? Math.ceil(record.limit * REQUEST_SHARE) : 0;
  return withPart(record, context.owner, { ...own, part: own.part + amount, wanted });
}

function amountToTake(record: AllotmentRecord, context: PlanContext, demand: number): number {
  const { state, plan, owner } = context;
  const own = partOf(record, owner);
  const spare = record.limit - sumOfParts(record);
  if (spare <= 0) return 0;
  const chunk = Math.floor(spare * TAKE_SHARE);
  const unused = own.part - demand;
  if (plan.shortage && unused <= 0) return Math.min(spare, Math.max(1, own.wanted, chunk));
  if (wantedByOthers(record, owner) > 0) return 0;
  if (state.readAt === -Infinity && own.part === 0) {
    return Math.min(chunk, Math.ceil(record.limit * INITIAL_CHUNK_SHARE));
  }
  return own.part > 0 && unused < own.part * LOW_WATER_SHARE ? chunk : 0;
}

function isEquivalent(left: AllotmentRecord, right: AllotmentRecord): boolean {
  if (left.limit !== right.limit) return false;
  const owners = new Set([...Object.keys(left.parts), ...Object.keys(right.parts)]);
  return [...owners].every((owner) => {
    const before = partOf(left, owner);
    const after = partOf(right, owner);
    return (
      before.part === after.part &&
      takenFrom(before) === takenFrom(after) &&
      before.wanted === after.wanted
    );
  });
}
