/**
 * A claim names the owner of a subject under an epoch. All claims of a data centre are kept in one
 * record of the store. The record lists each owner once and refers to it by index: a claim takes
 * about 25 bytes, so that the record of 200 subjects can be read every few seconds by every host.
 */
import { z } from 'zod';

/** The ownership of one subject. */
export interface Claim {
  /** `worker:<id>` or `bucket:<n>`. */
  readonly subject: string;
  readonly host: string;
  readonly bootId: string;
  /** Rises with every new owner. */
  readonly epoch: number;
  /** Former owners (`host/bootId`, oldest first) whose allotments are not settled yet. */
  readonly from?: readonly string[];
  /** The owner gave the subject up; the next owner has not claimed it yet. */
  readonly released?: boolean;
}

/** All claims of one data centre. */
export interface ClaimRecord {
  /** Highest epoch of any removed claim; a subject that reappears gets a higher one. */
  readonly floor: number;
  readonly claims: ReadonlyMap<string, Claim>;
}

export const EMPTY_RECORD: ClaimRecord = { floor: 0, claims: new Map() };

/** Name of an owner: host id and boot id. */
export function ownerName(owner: { readonly host: string; readonly bootId: string }): string {
  return `${owner.host}/${owner.bootId}`;
}

const index = z.number().int().min(0);

const storedSchema = z.object({
  floor: z.number().int().min(0),
  owners: z.array(z.object({ host: z.string(), bootId: z.string() })),
  claims: z.array(
    z.object({
      s: z.string(),
      o: index,
      e: z.number().int().min(1),
      f: z.array(index).optional(),
      r: z.literal(true).optional(),
    }),
  ),
});

/** The form of the record in the store. */
export type StoredClaims = z.infer<typeof storedSchema>;

/** Checks a record of the store; throws if it is not a claims record. */
export function parseClaims(data: unknown): StoredClaims {
  return storedSchema.parse(data);
}

export function encodeClaims(record: ClaimRecord): StoredClaims {
  const indexes = new Map<string, number>();
  const indexOf = (name: string) => {
    const known = indexes.get(name) ?? indexes.size;
    indexes.set(name, known);
    return known;
  };
  const claims = [...record.claims.values()].map((claim) => ({
    s: claim.subject,
    o: indexOf(ownerName(claim)),
    e: claim.epoch,
    ...(claim.from !== undefined && { f: claim.from.map(indexOf) }),
    ...(claim.released === true && { r: true as const }),
  }));
  return { floor: record.floor, owners: [...indexes.keys()].map(parseOwnerName), claims };
}

export function decodeClaims(stored: StoredClaims): ClaimRecord {
  const ownerAt = (place: number) => {
    const owner = stored.owners[place];
    if (owner === undefined) throw new Error('the claims record names an owner that it lacks');
    return owner;
  };
  const claims = stored.claims.map(({ s, o, e, f, r }): [string, Claim] => {
    const former = f && { from: f.map((place) => ownerName(ownerAt(place))) };
    return [s, { subject: s, ...ownerAt(o), epoch: e, ...former, ...(r && { released: r }) }];
  });
  return { floor: stored.floor, claims: new Map(claims) };
}

function parseOwnerName(name: string): { host: string; bootId: string } {
  const slash = name.lastIndexOf('/');
  return { host: name.slice(0, slash), bootId: name.slice(slash + 1) };
}
