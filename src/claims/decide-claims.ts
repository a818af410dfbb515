/**
 * Pure functions that compute the next claims record from the current one and from what this host
 * knows. A live owner keeps its subjects until it releases them. All other subjects go to the host
 * that rendezvous hashing selects.
 */
import { ownerName, type Claim, type ClaimRecord } from './claim.js';

/** One boot of a host, which owns claims. */
export interface Owner {
  readonly host: string;
  readonly bootId: string;
}

/** What a host knows when it reconciles the claims. */
export interface ClaimView {
  readonly self: Owner;
  readonly subjects: readonly string[];
  /** Hosts that may claim subjects: those that are live and can reach the store. */
  readonly candidates: readonly string[];
  readonly isLive: (owner: Owner) => boolean;
  readonly rendezvousOrder: (key: string, hosts: readonly string[]) => readonly string[];
  /** Whether this host has fully taken over the subject, so that it may hand it over. */
  readonly isOwned: (subject: string) => boolean;
  /** Maximum number of subjects that this host has released and that no host has claimed yet. */
  readonly maxReleased: number;
}

/** Returns the reconciled record, or undefined if nothing changes. */
export function decideClaims(record: ClaimRecord, view: ClaimView): ClaimRecord | undefined {
  const currentSubjects = new Set(view.subjects);
  const claims = new Map(record.claims);
  let floor = record.floor;
  for (const subject of new Set([...currentSubjects, ...record.claims.keys()])) {
    const claim = record.claims.get(subject);
    if (canClaim(subject, claim, view)) {
      claims.set(subject, createClaim(subject, record, view.self));
    } else if (claim !== undefined && isObsolete(claim, currentSubjects, view)) {
      claims.delete(subject);
      floor = Math.max(floor, claim.epoch);
    }
  }
  const released = rebalance(claims, view);
  const changed = released || !isSameMap(claims, record.claims);
  return changed ? { floor, claims } : undefined;
}

/** Marks claims of this host as released, regardless of the host that they hash to. */
export function releaseClaims(
  record: ClaimRecord,
  self: Owner,
  subjects: readonly string[],
): ClaimRecord | undefined {
  return updateOwnClaims(record, self, subjects, (claim) =>
    claim.released === true ? undefined : { ...claim, released: true },
  );
}

/** Removes the former owners from claims of this host. */
export function settleClaims(
  record: ClaimRecord,
  self: Owner,
  subjects: readonly string[],
): ClaimRecord | undefined {
  return updateOwnClaims(record, self, subjects, (claim) => {
    if (claim.from === undefined) return undefined;
    const { subject, host, bootId, epoch, released } = claim;
    return { subject, host, bootId, epoch, ...(released && { released }) };
  });
}

export function isOwner(claim: Owner, self: Owner): boolean {
  return claim.host === self.host && claim.bootId === self.bootId;
}

function updateOwnClaims(
  record: ClaimRecord,
  self: Owner,
  subjects: readonly string[],
  edit: (claim: Claim) => Claim | undefined,
): ClaimRecord | undefined {
  const claims = new Map(record.claims);
  for (const subject of subjects) {
    const claim = claims.get(subject);
    if (claim === undefined || !isOwner(claim, self)) continue;
    claims.set(subject, edit(claim) ?? claim);
  }
  return isSameMap(claims, record.claims) ? undefined : { ...record, claims };
}

/**
 * Does not require the subject to be in `subjects`: a removed subject is still taken over from a
 * dead owner, because the owner's allotment is freed only after each of its claims has been
 * settled.
 */
function canClaim(subject: string, claim: Claim | undefined, view: ClaimView): boolean {
  const isFree =
    claim === undefined ||
    claim.released === true ||
    !(isOwner(claim, view.self) || view.isLive(claim));
  return isFree && chooseHost(subject, view) === view.self.host;
}

function createClaim(subject: string, record: ClaimRecord, self: Owner): Claim {
  const former = record.claims.get(subject);
  const epoch = (former?.epoch ?? record.floor) + 1;
  if (former === undefined) return { subject, ...self, epoch };
  const formerOwners = new Set([...(former.from ?? []), ownerName(former)]);
  // Tasks of a subject that returns to the same boot are already charged to the right owner.
  formerOwners.delete(ownerName(self));
  const claim: Claim = { subject, ...self, epoch };
  return formerOwners.size === 0 ? claim : { ...claim, from: [...formerOwners] };
}

/**
 * The owner removes the claim of a subject that no longer exists once nothing is left to settle.
 */
function isObsolete(claim: Claim, subjects: ReadonlySet<string>, view: ClaimView): boolean {
  return isOwner(claim, view.self) && !subjects.has(claim.subject) && claim.from === undefined;
}

/** Releases claims that hash to another host. Returns whether there were any. */
function rebalance(claims: Map<string, Claim>, view: ClaimView): boolean {
  const own = [...claims.values()].filter((claim) => isOwner(claim, view.self));
  const remaining = view.maxReleased - own.filter((claim) => claim.released === true).length;
  const misplaced = own
    .filter((claim) => claim.released !== true && claim.from === undefined)
    .filter((claim) => view.isOwned(claim.subject) && hashesToOtherHost(claim.subject, view))
    .slice(0, Math.max(0, remaining));
  for (const claim of misplaced) claims.set(claim.subject, { ...claim, released: true });
  return misplaced.length > 0;
}

function hashesToOtherHost(subject: string, view: ClaimView): boolean {
  const chosen = chooseHost(subject, view);
  return chosen !== undefined && chosen !== view.self.host;
}

function chooseHost(subject: string, view: ClaimView): string | undefined {
  return view.rendezvousOrder(subject, view.candidates)[0];
}

function isSameMap<K, V>(left: ReadonlyMap<K, V>, right: ReadonlyMap<K, V>): boolean {
  return left.size === right.size && [...left].every(([key, value]) => right.get(key) === value);
}
