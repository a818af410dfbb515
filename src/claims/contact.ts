/**
 * Tells whether this host has been out of contact with both its peers and the store since it last
 * read the claims.
 */
import type { ClaimsOptions } from './options.js';

/** The default suspicion timeout: after it, peers may have taken claims over. */
const DEFAULT_LOSS_MS = 5000;

export interface Contact {
  /** Called with each heartbeat. */
  noteStep(): void;
  /** Called when the record was read. */
  noteRead(): void;
  /** Whether the record was read after the last loss of all contact. */
  isCurrent(): boolean;
}

export function createContact(options: ClaimsOptions): Contact {
  const { membership, host, now } = options;
  const lossMs = options.startGraceMs ?? DEFAULT_LOSS_MS;
  let contactAt = now();
  let isRead = false;

  function checkLoss(): void {
    if (now() - contactAt >= lossMs) isRead = false;
  }

  return {
    noteStep: () => {
      checkLoss();
      const hasPeer = membership.live(host.dataCentre).some((id) => id !== host.id);
      if (hasPeer) contactAt = now();
    },
    noteRead: () => {
      isRead = true;
      contactAt = now();
    },
    isCurrent: () => {
      checkLoss();
      return isRead;
    },
  };
}
