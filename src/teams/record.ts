/**
 * The record of one team's limit in the store: the limit and the part of each owner. All functions
 * are pure. The sum of the parts does not exceed the limit, unless the limit was lowered.
 */
import { z } from 'zod';

/** The part of the limit that one owner (host id and boot id) may use. */
export interface AllotmentPart {
  /** Number of tasks that the owner may have running. */
  readonly part: number;
  /**
   * Charges that other owners, by name, have moved out of `part` and that this owner has not
   * acknowledged. It may still use them, because it may be paused rather than dead. The owner that
   * moved them keeps them unused once their tasks end.
   */
  readonly taken: Readonly<Record<string, number>>;
  /** Number of the owner's last write, to detect whether a write with a lost answer took effect. */
  readonly writes: number;
  /** Number of tasks that the owner requests while the limit has no spare part. */
  readonly wanted: number;
  /** Charges that the owner's last write moved into its part, by former owner. */
  readonly moves?: Readonly<Record<string, number>> | undefined;
}

export interface AllotmentRecord {
  readonly limit: number;
  /** Configuration revision that the limit comes from. */
  readonly revision: number;
  readonly parts: Readonly<Record<string, AllotmentPart>>;
}

const count = z.number().int().nonnegative();

const partSchema = z.object({
  part: count,
  taken: z.record(z.string(), count),
  writes: count,
  wanted: count,
  moves: z.record(z.string(), count).optional(),
});

const recordSchema = z.object({
  limit: count,
  revision: count,
  parts: z.record(z.string(), partSchema),
});

export const NO_PART: AllotmentPart = { part: 0, taken: {}, writes: 0, wanted: 0 };
export const NO_RECORD: AllotmentRecord = { limit: 0, revision: 0, parts: {} };

export function parseAllotmentRecord(data: unknown): AllotmentRecord {
  return recordSchema.parse(data);
}

export function partOf(record: AllotmentRecord, owner: string): AllotmentPart {
  return record.parts[owner] ?? NO_PART;
}

export function withPart(
  record: AllotmentRecord,
  owner: string,
  part: AllotmentPart,
): AllotmentRecord {
  return { ...record, parts: { ...record.parts, [owner]: part } };
}

export function withoutOwner(record: AllotmentRecord, owner: string): AllotmentRecord {
  const parts = Object.entries(record.parts).filter(([name]) => name !== owner);
  return { ...record, parts: Object.fromEntries(parts) };
}

export function sumOfParts(record: AllotmentRecord): number {
  return Object.values(record.parts).reduce((sum, { part }) => sum + part, 0);
}

/** Whether the owner has a part or has moved charges that are not acknowledged yet. */
export function isReferenced(record: AllotmentRecord, owner: string): boolean {
  return record.parts[owner] !== undefined || isUnacknowledged(record, owner);
}

export function takenFrom({ taken }: AllotmentPart): number {
  return Object.values(taken).reduce((sum, amount) => sum + amount, 0);
}

/** Whether charges that this owner moved into its part may still be used by their former owner. */
export function isUnacknowledged(record: AllotmentRecord, owner: string): boolean {
  return Object.values(record.parts).some(({ taken }) => (taken[owner] ?? 0) > 0);
}

/** Number of tasks that other owners request. */
export function wantedByOthers(record: AllotmentRecord, owner: string): number {
  return Object.entries(record.parts)
    .filter(([name]) => name !== owner)
    .reduce((sum, [, { wanted }]) => sum + wanted, 0);
}

/**
 * Moves charges into an owner's part, from each former owner at most its part, and records in the
 * new owner's part how many were moved.
 */
export function moveCharges(
  record: AllotmentRecord,
  to: string,
  amounts: ReadonlyMap<string, number>,
): AllotmentRecord {
  let next = withPart(record, to, { ...partOf(record, to), moves: undefined });
  const moves: Record<string, number> = {};
  for (const [from, wanted] of amounts) {
    const source = partOf(next, from);
    const amount = Math.min(wanted, source.part);
    if (amount === 0) continue;
    const taken = { ...source.taken, [to]: (source.taken[to] ?? 0) + amount };
    next = withPart(next, from, { ...source, part: source.part - amount, taken });
    const target = partOf(next, to);
    moves[from] = amount;
    next = withPart(next, to, { ...target, part: target.part + amount, moves });
  }
  return next;
}

/**
 * Removes an owner whose tasks have all been adopted. Charges that it had moved from a third owner,
 * and that the third owner may still use, return to the third owner as far as the removed part
 * covers them. The rest is kept unused by the owners that adopted from the removed owner.
 */
export function removeOwner(record: AllotmentRecord, gone: string): AllotmentRecord {
  const { part, taken } = partOf(record, gone);
  const adopters = new Map(Object.entries(taken));
  let unassigned = part;
  let next = withoutOwner(record, gone);
  for (const [name, other] of Object.entries(next.parts)) {
    const claimed = other.taken[gone] ?? 0;
    if (claimed === 0) continue;
    const returned = Math.min(claimed, unassigned);
    unassigned -= returned;
    const remaining = reassignClaim(other, {
      gone,
      owner: name,
      adopters,
      amount: claimed - returned,
    });
    next = withPart(next, name, { ...remaining, part: other.part + returned });
  }
  return next;
}

function reassignClaim(
  other: AllotmentPart,
  claim: { gone: string; owner: string; adopters: Map<string, number>; amount: number },
): AllotmentPart {
  const taken = Object.fromEntries(
    Object.entries(other.taken).filter(([name]) => name !== claim.gone),
  );
  let { amount } = claim;
  for (const [adopter, moved] of claim.adopters) {
    const reassigned = Math.min(amount, moved);
    amount -= reassigned;
    claim.adopters.set(adopter, moved - reassigned);
    // An owner that adopted its own tasks back has both sides of the charge in its own part.
    if (adopter !== claim.owner && reassigned > 0)
      taken[adopter] = (taken[adopter] ?? 0) + reassigned;
  }
  return { ...other, taken };
}

/**
 * Cancels charges that were adopted in a cycle, for example by two hosts that took the same worker
 * from each other. Each owner in the cycle loses as many charges that it may still use as it keeps
 * unused for another owner. Otherwise, the owners would wait for each other's acknowledgement.
 */
export function cancelCycles(record: AllotmentRecord, owner: string): AllotmentRecord {
  let next = record;
  for (;;) {
    const cycle = findCycle(next, [owner]);
    if (!cycle) return next;
    const amounts = cycle.map((name, at) => partOf(next, name).taken[successor(cycle, at)] ?? 0);
    const amount = Math.min(...amounts);
    for (const [at, name] of cycle.entries()) {
      const part = partOf(next, name);
      const remaining = Object.entries(part.taken).map(([adopter, taken]) => {
        return [adopter, adopter === successor(cycle, at) ? taken - amount : taken] as const;
      });
      const taken = Object.fromEntries(remaining.filter(([, count]) => count > 0));
      next = withPart(next, name, { ...part, taken });
    }
  }
}

function successor(cycle: readonly string[], at: number): string {
  return cycle[(at + 1) % cycle.length] ?? '';
}

/** Follows the adopters from the end of the path until they lead back to its start. */
function findCycle(
  record: AllotmentRecord,
  path: readonly string[],
  visited = new Set<string>(),
): readonly string[] | undefined {
  for (const adopter of Object.keys(partOf(record, path.at(-1) ?? '').taken)) {
    if (adopter === path[0]) return path;
    if (visited.has(adopter)) continue;
    visited.add(adopter);
    const cycle = findCycle(record, [...path, adopter], visited);
    if (cycle) return cycle;
  }
  return undefined;
}
