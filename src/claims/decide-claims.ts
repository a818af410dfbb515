/**
 * The rules of one reconciliation step, as a function of the record and of this host's view. A live
 * owner keeps its subjects until it releases them; everything else goes to the host that rendezvous
 * hashing chooses.
 */
import { ownerName, type Claim, type ClaimRecord } from './claim.js';

/** Host and boot of an owner. */
export interface Owner {
  readonly host: string;
  readonly bootId: string;
}

/** What one host knows when it reconciles. */
export interface ClaimView {
  readonly self: Owner;
  readonly subjects: readonly string[];
  /** Hosts that may claim: live and able to reach the store. */
  readonly candidates: readonly string[];
  readonly isLive: (owner: Owner) => boolean;
  readonly rendezvousOrder: (key: string, hosts: readonly string[]) => readonly string[];
  /** Whether this host's claim is in force, so that it can be handed over. */
  readonly isOwned: (subject: string) => boolean;
  /** Most subjects that this host has released and that nobody has claimed yet. */
  readonly maxReleased: number;
}

/** Returns the record after the step, or undefined if nothing changes. */
export function decideClaims(record: ClaimRecord, view: ClaimView): ClaimRecord | undefined {
  const wanted = new Set(view.subjects);
  const claims = new Map(record.claims);
  let floor = record.floor;
  for (const subject of new Set([...wanted, ...record.claims.keys()])) {
    const claim = record.claims.get(subject);
    if (canClaim(subject, claim, view)) {
      claims.set(subject, createClaim(subject, record, view.self));
    } else if (claim !== undefined && isObsolete(claim, wanted, view)) {
      claims.delete(subject);
      floor = Math.max(floor, claim.epoch);
    }
  }
  const released = rebalance(claims, view);
  const changed = released || !isSameMap(claims, record.claims);
  return changed ? { floor, claims } : undefined;
}

/** Marks claims of this host as released, whoever they hash to. */
export function releaseClaims(
  record: ClaimRecord,
  self: Owner,
  subjects: readonly string[],
): ClaimRecord | undefined {
  return editOwn(record, self, subjects, (claim) =>
    claim.released === true ? undefined : { ...claim, released: true },
  );
}

/** Removes the former owners from claims of this host. */
export function settleClaims(
  record: ClaimRecord,
  self: Owner,
  subjects: readonly string[],
): ClaimRecord | undefined {
  return editOwn(record, self, subjects, (claim) => {
    if (claim.from === undefined) return undefined;
    const { subject, host, bootId, epoch, released } = claim;
    return { subject, host, bootId, epoch, ...(released && { released }) };
  });
}

export function isOwner(claim: Owner, self: Owner): boolean {
  return claim.host === self.host && claim.bootId === self.bootId;
}

function editOwn(
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
 * A subject that `subjects` no longer names is still taken over from a dead owner, because the
 * owner's allotment is free only after each of its claims was settled.
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
  const names = new Set([...(former.from ?? []), ownerName(former)]);
  // A subject that comes back to the same boot is charged to the right owner already.
  names.delete(ownerName(self));
  const claim: Claim = { subject, ...self, epoch };
  return names.size === 0 ? claim : { ...claim, from: [...names] };
}

/** Claims of subjects that are gone are removed by their owner, once nothing has to be settled. */
function isObsolete(claim: Claim, wanted: ReadonlySet<string>, view: ClaimView): boolean {
  return isOwner(claim, view.self) && !wanted.has(claim.subject) && claim.from === undefined;
}

/** Releases claims that hash to another host; returns whether there were any. */
function rebalance(claims: Map<string, Claim>, view: ClaimView): boolean {
  const own = [...claims.values()].filter((claim) => isOwner(claim, view.self));
  const room = view.maxReleased - own.filter((claim) => claim.released === true).length;
  const misplaced = own
    .filter((claim) => claim.released !== true && claim.from === undefined)
    .filter((claim) => view.isOwned(claim.subject) && hashesElsewhere(claim.subject, view))
    .slice(0, Math.max(0, room));
  for (const claim of misplaced) claims.set(claim.subject, { ...claim, released: true });
  return misplaced.length > 0;
}

function hashesElsewhere(subject: string, view: ClaimView): boolean {
  const chosen = chooseHost(subject, view);
  return chosen !== undefined && chosen !== view.self.host;
}

function chooseHost(subject: string, view: ClaimView): string | undefined {
  return view.rendezvousOrder(subject, view.candidates)[0];
}

function isSameMap<K, V>(left: ReadonlyMap<K, V>, right: ReadonlyMap<K, V>): boolean {
  return left.size === right.size && [...left].every(([key, value]) => right.get(key) === value);
}
