/**
 * Decides which owners are live, from heartbeats and from claims that silent hosts make.
 */
import { ownerName, type ClaimRecord } from './claim.js';
import { isOwner, type Owner } from './decide-claims.js';
import type { ClaimsOptions } from './options.js';

/** The default suspicion timeout: after it, a host that is still silent is dead. */
const DEFAULT_START_GRACE_MS = 5000;
/** Peers suspect a host after 5 s without a heartbeat, and the last one is up to 1 s old. */
const DEFAULT_PAUSE_MS = 3000;
/**
 * Two hosts that reach the store but not each other would take everything from one another in every
 * step. A claim made by a silent host shows that it lives, so takeovers slow down to this period.
 */
const DEFAULT_SILENT_OWNER_MS = 60_000;

/** A claim that appeared while its owner sent no heartbeats. */
interface SilentClaim {
  readonly at: number;
  /** Boot id in the host's last heartbeat at that time. */
  readonly heardBootId: string | undefined;
}

export function createLiveness(options: ClaimsOptions, self: Owner) {
  const { membership, host, now } = options;
  const { startGraceMs = DEFAULT_START_GRACE_MS, pauseThresholdMs = DEFAULT_PAUSE_MS } = options;
  let graceSince = now();
  let lastTickAt = now();
  let hasRead = false;
  const silentOwners = new Map<string, SilentClaim>();

  function isHeard(owner: Owner): boolean {
    if (isOwner(owner, self)) return true;
    return (
      membership.live(host.dataCentre).includes(owner.host) &&
      membership.heartbeat(owner.host)?.bootId === owner.bootId
    );
  }

  /** A heartbeat of yet another boot shows that the silent owner has ended. */
  function madeClaimRecently(owner: Owner): boolean {
    const silent = silentOwners.get(ownerName(owner));
    if (silent === undefined) return false;
    const holdMs = options.silentOwnerMs ?? DEFAULT_SILENT_OWNER_MS;
    if (now() - silent.at >= holdMs) return false;
    const heartbeat = membership.heartbeat(owner.host);
    return heartbeat?.bootId === silent.heardBootId && heartbeat?.state !== 'leaving';
  }

  function tick(): void {
    if (now() - lastTickAt >= pauseThresholdMs) {
      graceSince = now();
      hasRead = false;
    }
    lastTickAt = now();
  }

  /** False while hosts may be silent only because this one has just started or was paused. */
  function isInformed(): boolean {
    tick();
    if (now() - graceSince >= startGraceMs) return true;
    const live = membership.live(host.dataCentre);
    return membership
      .hosts()
      .filter((known) => known.dataCentre === host.dataCentre && known.id !== host.id)
      .every((known) => live.includes(known.id));
  }

  return {
    isLive: (owner: Owner): boolean => isHeard(owner) || madeClaimRecently(owner),
    /** Notes claims that appeared since the last read and whose owners send no heartbeats. */
    observe: (last: ClaimRecord | undefined, current: ClaimRecord): void => {
      if (last === undefined) return;
      for (const claim of current.claims.values()) {
        const isNew = claim.epoch > (last.claims.get(claim.subject)?.epoch ?? 0);
        if (!isNew || isHeard(claim)) continue;
        const heardBootId = membership.heartbeat(claim.host)?.bootId;
        silentOwners.set(ownerName(claim), { at: now(), heardBootId });
      }
    },
    /** Live hosts that reach the store; one that does not could not claim. */
    candidates: (): readonly string[] =>
      membership
        .live(host.dataCentre)
        .filter((id) => id === host.id || membership.heartbeat(id)?.storeReachable !== false),
    isInformed,
    /** Notes that the process runs; long gaps are pauses. */
    tick,
    noteRead: (): void => {
      hasRead = isInformed();
    },
    /** Whether the claims were read since this host was last out of contact. */
    isCurrent: (): boolean => hasRead && now() - lastTickAt < pauseThresholdMs,
  };
}
