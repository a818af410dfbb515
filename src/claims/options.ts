/**
 * Options of `createClaims`.
 */
import type { Membership } from '../hosts/index.js';
import type { Log } from '../log/index.js';
import type { Host } from '../model/index.js';
import type { Store } from '../platform/index.js';

export interface ClaimsOptions {
  readonly store: Store;
  readonly membership: Membership;
  readonly host: Host;
  readonly bootId: string;
  /** Subjects of the data centre, as this host knows them. */
  readonly subjects: () => readonly string[];
  readonly rendezvousOrder: (key: string, hosts: readonly string[]) => readonly string[];
  readonly now: () => number;
  readonly log: Log;
  /** Most subjects that are released for rebalancing and not claimed yet. */
  readonly maxReleased?: number;
  /** How long a host that has started or was paused waits for its peers before it claims anything. */
  readonly startGraceMs?: number;
  /**
   * A gap between two steps that counts as a pause. Longer than the interval of the steps, and
   * shorter than the suspicion timeout less a heartbeat interval, so that a host distrusts itself
   * before its peers suspect it.
   */
  readonly pauseThresholdMs?: number;
  /** How long a silent host counts as live after it made a claim. */
  readonly silentOwnerMs?: number;
}
