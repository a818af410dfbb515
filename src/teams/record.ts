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
   * Charges that other owners have moved out of `part` and that this owner has not acknowledged.
   * It may still use them, because it may be paused rather than dead; whoever moved them keeps
   * them unused once their tasks end.
   */
  readonly taken: number;
  /** Number of the owner's last write, so that a write whose answer was lost is recognised. */
  readonly writes: number;
  /** Tasks that the owner asks for while nothing is spare. */
  readonly wanted: number;
}

export interface AllotmentRecord {
  readonly limit: number;
  /** Configuration revision that the limit comes from. */
  readonly revision: number;
  readonly parts: Readonly<Record<string, AllotmentPart>>;
}

const count = z.number().int().nonnegative();

const recordSchema = z.object({
  limit: count,
  revision: count,
  parts: z.record(
    z.string(),
    z.object({ part: count, taken: count, writes: count, wanted: count }),
  ),
});

export const NO_PART: AllotmentPart = { part: 0, taken: 0, writes: 0, wanted: 0 };
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

/** What other owners ask for. */
export function wantedByOthers(record: AllotmentRecord, owner: string): number {
  return Object.entries(record.parts)
    .filter(([name]) => name !== owner)
    .reduce((sum, [, { wanted }]) => sum + wanted, 0);
}

/** Moves up to `amount` from one owner's part to another's. */
export function moveCharge(
  record: AllotmentRecord,
  move: { readonly from: string; readonly to: string; readonly amount: number },
): AllotmentRecord {
  const source = partOf(record, move.from);
  const amount = Math.min(move.amount, source.part);
  if (amount === 0) return record;
  const target = partOf(record, move.to);
  const reduced = { ...source, part: source.part - amount, taken: source.taken + amount };
  const raised = { ...target, part: target.part + amount };
  return withPart(withPart(record, move.from, reduced), move.to, raised);
}
