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
  /** Returns the subjects of the data centre that this host knows. */
  readonly subjects: () => readonly string[];
  readonly rendezvousOrder: (key: string, hosts: readonly string[]) => readonly string[];
  readonly now: () => number;
  readonly log: Log;
  /** Maximum number of subjects that are released for rebalancing and not claimed yet. */
  readonly maxReleased?: number;
  /**
   * How long a host waits for heartbeats of its peers after a start or a pause before it claims
   * anything.
   */
  readonly startGraceMs?: number;
  /**
   * A gap between two checks that counts as a pause of the process. It must be longer than the
   * interval of the checks and shorter than the suspicion timeout less a heartbeat interval, so
   * that a paused host stops relying on its claims before its peers suspect it.
   */
  readonly pauseThresholdMs?: number;
  /** How long a silent host counts as live after it has made a claim. */
  readonly silentOwnerMs?: number;
}
