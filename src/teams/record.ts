/**
 * The record of one team's limit in the store: the limit and the part of each owner. All functions
 * here are pure; the sum of the parts is at most the limit unless the limit was lowered.
 */
import { z } from 'zod';

/** What one owner (host id and boot id) may use. */
export interface AllotmentPart {
  /** Tasks that the owner may have running. */
  readonly part: number;
  /**
   * Charges that other owners, by name, have moved out of `part` and that this owner has not
   * acknowledged. It may still use them, because it may be paused rather than dead; whoever moved
   * them keeps them unused once their tasks end.
   */
  readonly taken: Readonly<Record<string, number>>;
  /** Number of the owner's last write, so that a write whose answer was lost is recognised. */
  readonly writes: number;
  /** Tasks that the owner asks for while nothing is spare. */
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

/** Whether the owner has a part or has moved charges that are unacknowledged. */
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

/** What other owners ask for. */
export function wantedByOthers(record: AllotmentRecord, owner: string): number {
  return Object.entries(record.parts)
    .filter(([name]) => name !== owner)
    .reduce((sum, [, { wanted }]) => sum + wanted, 0);
}

/**
 * Moves charges into an owner's part, each up to what is left of the former owner's part, and notes
 * in the owner's part how many were moved.
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
 * Removes an owner whose tasks have all been adopted. Charges that it had moved from a third owner
 * and that this one may still use go back to the third owner as far as the removed part covers
 * them; the rest is now kept unused by those who adopted from the removed owner.
 */
export function removeOwner(record: AllotmentRecord, gone: string): AllotmentRecord {
  const { part, taken } = partOf(record, gone);
  const heirs = new Map(Object.entries(taken));
  let left = part;
  let next = withoutOwner(record, gone);
  for (const [name, other] of Object.entries(next.parts)) {
    const claimed = other.taken[gone] ?? 0;
    if (claimed === 0) continue;
    const returned = Math.min(claimed, left);
    left -= returned;
    const kept = inherit(other, { gone, heir: name, heirs, amount: claimed - returned });
    next = withPart(next, name, { ...kept, part: other.part + returned });
  }
  return next;
}

function inherit(
  other: AllotmentPart,
  claim: { gone: string; heir: string; heirs: Map<string, number>; amount: number },
): AllotmentPart {
  const taken = Object.fromEntries(
    Object.entries(other.taken).filter(([name]) => name !== claim.gone),
  );
  let { amount } = claim;
  for (const [heir, moved] of claim.heirs) {
    const inherited = Math.min(amount, moved);
    amount -= inherited;
    claim.heirs.set(heir, moved - inherited);
    // An owner that adopted its own tasks back has both sides of the charge in its own part.
    if (heir !== claim.heir && inherited > 0) taken[heir] = (taken[heir] ?? 0) + inherited;
  }
  return { ...other, taken };
}

/**
 * Cancels charges that were adopted in a circle, such as by two hosts that took the same worker
 * from each other. Every owner in the circle loses as much of what it may still use as it has to
 * keep unused for another. Without this, each of them waits for the other's acknowledgement.
 */
export function cancelCycles(record: AllotmentRecord, owner: string): AllotmentRecord {
  let next = record;
  for (;;) {
    const cycle = findCycle(next, [owner]);
    if (!cycle) return next;
    const amounts = cycle.map((name, at) => partOf(next, name).taken[following(cycle, at)] ?? 0);
    const amount = Math.min(...amounts);
    for (const [at, name] of cycle.entries()) {
      const part = partOf(next, name);
      const left = Object.entries(part.taken).map(([adopter, taken]) => {
        return [adopter, adopter === following(cycle, at) ? taken - amount : taken] as const;
      });
      const taken = Object.fromEntries(left.filter(([, count]) => count > 0));
      next = withPart(next, name, { ...part, taken });
    }
  }
}

function following(cycle: readonly string[], at: number): string {
  return cycle[(at + 1) % cycle.length] ?? '';
}

/** Extends the path along adopters until it returns to its start. */
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
