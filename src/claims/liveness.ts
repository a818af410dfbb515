/**
 * Determines which owners are live, based on heartbeats and on claims made by hosts whose
 * heartbeats do not arrive ("silent" hosts).
 */
import { ownerName, type ClaimRecord } from './claim.js';
import { isOwner, type Owner } from './decide-claims.js';
import type { ClaimsOptions } from './options.js';

/** The default suspicion timeout, after which a host that is still silent counts as dead. */
const DEFAULT_START_GRACE_MS = 5000;
/** Peers suspect a host after 5 s without a heartbeat, and its last heartbeat is up to 1 s old. */
const DEFAULT_PAUSE_MS = 3000;
/**
 * Two hosts that reach the store but not each other would take over each other's subjects in every
 * step. A claim made by a silent host shows that it is alive, so it counts as live for this period,
 * which limits the rate of such takeovers.
 */
const DEFAULT_SILENT_OWNER_MS = 60_000;

/** A claim that appeared while no heartbeats of its owner arrived. */
interface SilentClaim {
  readonly at: number;
  /** Boot id in the last heartbeat of the host at that time. */
  readonly lastBootId: string | undefined;
}

export function createLiveness(options: ClaimsOptions, self: Owner) {
  const { membership, host, now } = options;
  const { startGraceMs = DEFAULT_START_GRACE_MS, pauseThresholdMs = DEFAULT_PAUSE_MS } = options;
  let graceStartedAt = now();
  let lastCheckAt = now();
  let hasRead = false;
  const silentOwners = new Map<string, SilentClaim>();

  function hasHeartbeat(owner: Owner): boolean {
    if (isOwner(owner, self)) return true;
    return (
      membership.live(host.dataCentre).includes(owner.host) &&
      membership.heartbeat(owner.host)?.bootId === owner.bootId
    );
  }

  /**
   * A later heartbeat with another boot id shows that the process of the silent owner has ended.
   */
  function hasClaimedRecently(owner: Owner): boolean {
    const silentClaim = silentOwners.get(ownerName(owner));
    if (silentClaim === undefined) return false;
    const silentOwnerMs = options.silentOwnerMs ?? DEFAULT_SILENT_OWNER_MS;
    if (now() - silentClaim.at >= silentOwnerMs) return false;
    const heartbeat = membership.heartbeat(owner.host);
    return heartbeat?.bootId === silentClaim.lastBootId && heartbeat?.state !== 'leaving';
  }

  function detectPause(): void {
    if (now() - lastCheckAt >= pauseThresholdMs) {
      graceStartedAt = now();
      hasRead = false;
    }
    lastCheckAt = now();
  }

  /**
   * Returns false shortly after a start or a pause of this process, when it may simply not have
   * received the heartbeats of live hosts yet.
   */
  function isMembershipReliable(): boolean {
    detectPause();
    if (now() - graceStartedAt >= startGraceMs) return true;
    const live = membership.live(host.dataCentre);
    return membership
      .hosts()
      .filter((known) => known.dataCentre === host.dataCentre && known.id !== host.id)
      .every((known) => live.includes(known.id));
  }

  return {
    isLive: (owner: Owner): boolean => hasHeartbeat(owner) || hasClaimedRecently(owner),
    /** Records claims that have appeared since the last read and whose owners are silent. */
    recordSilentClaims: (last: ClaimRecord | undefined, current: ClaimRecord): void => {
      if (last === undefined) return;
      for (const claim of current.claims.values()) {
        const isNew = claim.epoch > (last.claims.get(claim.subject)?.epoch ?? 0);
        if (!isNew || hasHeartbeat(claim)) continue;
        const lastBootId = membership.heartbeat(claim.host)?.bootId;
        silentOwners.set(ownerName(claim), { at: now(), lastBootId });
      }
    },
    /** Returns the live hosts that reach the store. The others could not write a claim. */
    candidates: (): readonly string[] =>
      membership
        .live(host.dataCentre)
        .filter((id) => id === host.id || membership.heartbeat(id)?.storeReachable !== false),
    isMembershipReliable,
    /** Treats a long gap since the last call as a pause, which starts the grace period again. */
    detectPause,
    noteRead: (): void => {
      hasRead = isMembershipReliable();
    },
    /** Whether the claims have been read since the last start or pause of this process. */
    isCurrent: (): boolean => hasRead && now() - lastCheckAt < pauseThresholdMs,
  };
}
