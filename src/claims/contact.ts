/**
 * Tracks whether this host has lost contact with both its peers and the store since it last read
 * the claims.
 */
import type { ClaimsOptions } from './options.js';

/** The default suspicion timeout, after which peers may have taken over claims of this host. */
const DEFAULT_LOSS_TIMEOUT_MS = 5000;

export interface ContactTracker {
  /** Checks whether this host receives heartbeats of any peer. Called with each heartbeat. */
  checkPeers(): void;
  /** Records that the claims were read. */
  noteRead(): void;
  /** Whether the claims have been read since contact was last lost. */
  isCurrent(): boolean;
}

export function createContactTracker(options: ClaimsOptions): ContactTracker {
  const { membership, host, now } = options;
  const lossTimeoutMs = options.startGraceMs ?? DEFAULT_LOSS_TIMEOUT_MS;
  let lastContactAt = now();
  let hasReadSinceLoss = false;

  function detectLoss(): void {
    if (now() - lastContactAt >= lossTimeoutMs) hasReadSinceLoss = false;
  }

  return {
    checkPeers: () => {
      detectLoss();
      const hasPeer = membership.live(host.dataCentre).some((id) => id !== host.id);
      if (hasPeer) lastContactAt = now();
    },
    noteRead: () => {
      hasReadSinceLoss = true;
      lastContactAt = now();
    },
    isCurrent: () => {
      detectLoss();
      return hasReadSinceLoss;
    },
  };
}
