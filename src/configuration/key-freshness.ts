/**
 * Whether the keys in force are known to be current. Keys are current if the store's configuration
 * was read recently, by this host or by one that this host has heard from, or if it is known that no
 * host can reach the store, because then nobody can withdraw a key.
 */

/** What one host knows about the store. */
export interface StoreStatus {
  /** Age of the newest read of the configuration that the host knows of, when it said so. */
  readonly contactAgeMs: number;
  /** Whether the host's own last call to the store succeeded. */
  readonly reachable: boolean;
  /** Configuration revision in force on the host. */
  readonly revision: number;
}

/** What a peer said in its last heartbeat. */
export interface PeerStoreStatus extends StoreStatus {
  /** Age of the heartbeat. */
  readonly heardAgeMs: number;
}

export interface KeyFreshnessInput {
  readonly stalenessMs: number;
  readonly own: StoreStatus;
  /** One item for each other known entry host; undefined if nothing was heard from it. */
  readonly others: readonly (PeerStoreStatus | undefined)[];
}

export function areKeysCurrent(evidence: KeyFreshnessInput): boolean {
  // Without a configuration there are no keys that could be current.
  if (evidence.own.revision === 0) return false;
  return newestContactAgeMs(evidence) <= evidence.stalenessMs || nobodyReachesStore(evidence);
}

/** Age of the newest read of the configuration, own or learnt; infinite if there was none. */
export function newestContactAgeMs({ own, others }: KeyFreshnessInput): number {
  const learnt = others
    .filter((peer) => peer !== undefined)
    // A peer with a higher revision proves that this host's keys are not the newest ones.
    .filter((peer) => peer.revision <= own.revision)
    .map((peer) => validAge(peer.heardAgeMs) + validAge(peer.contactAgeMs));
  return Math.min(validAge(own.contactAgeMs), ...learnt);
}

function nobodyReachesStore({ stalenessMs, own, others }: KeyFreshnessInput): boolean {
  if (own.reachable) return false;
  return others.every(
    (peer) =>
      peer !== undefined &&
      validAge(peer.heardAgeMs) <= stalenessMs &&
      !peer.reachable &&
      peer.revision <= own.revision,
  );
}

/** A negative age means that the clock stepped back, so the age is not known. */
function validAge(ageMs: number): number {
  return ageMs >= 0 ? ageMs : Infinity;
}
