/**
 * Decides whether the keys in force are known to be current. They are if the store's configuration
 * was read recently, by this host or by a peer that reported it in a heartbeat, or if no host is
 * able to reach the store, because then no key can be withdrawn.
 */

/** What one host knows about the store. */
export interface StoreStatus {
  /** Age of the latest read of the configuration known to the host, at the time of its report. */
  readonly contactAgeMs: number;
  /** Whether the host's own last call to the store succeeded. */
  readonly reachable: boolean;
  /** Configuration revision in force on the host. */
  readonly revision: number;
}

/** What a peer reported in its last heartbeat. */
export interface PeerStoreStatus extends StoreStatus {
  /** Age of the heartbeat. */
  readonly heartbeatAgeMs: number;
}

export interface KeyFreshnessInput {
  readonly stalenessMs: number;
  readonly own: StoreStatus;
  /** One item for each other known entry host; undefined if it has no reliable heartbeat. */
  readonly others: readonly (PeerStoreStatus | undefined)[];
}

export function areKeysCurrent(input: KeyFreshnessInput): boolean {
  // Without a configuration there are no keys that could be current.
  if (input.own.revision === 0) return false;
  return newestContactAgeMs(input) <= input.stalenessMs || isStoreUnreachableForAll(input);
}

/** Age of the latest read by this host or a peer; infinite if there was none. */
export function newestContactAgeMs({ own, others }: KeyFreshnessInput): number {
  const peerAges = others
    .filter((peer) => peer !== undefined)
    // A higher revision at a peer proves that this host's keys are outdated.
    .filter((peer) => peer.revision <= own.revision)
    .map((peer) => knownAge(peer.heartbeatAgeMs) + knownAge(peer.contactAgeMs));
  return Math.min(knownAge(own.contactAgeMs), ...peerAges);
}

function isStoreUnreachableForAll({ stalenessMs, own, others }: KeyFreshnessInput): boolean {
  if (own.reachable) return false;
  return others.every(
    (peer) =>
      peer !== undefined &&
      knownAge(peer.heartbeatAgeMs) <= stalenessMs &&
      !peer.reachable &&
      peer.revision <= own.revision,
  );
}

/** A negative age means that the clock stepped back, so the age is not known. */
function knownAge(ageMs: number): number {
  return ageMs >= 0 ? ageMs : Infinity;
}
