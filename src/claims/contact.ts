/**
 * Tells whether this host can still rely on the claims that it last read.
 */
import type { ClaimsOptions } from './options.js';

/** The default suspicion timeout: after it, peers may have taken claims over. */
const DEFAULT_LOSS_MS = 5000;

export interface Contact {
  /** Called several times within the shortest pause that matters, whatever the store does. */
  noteStep(): void;
  /** Called when the record was read. */
  noteRead(): void;
  /** Whether the record was read after the last pause and the last loss of all contact. */
  isCurrent(): boolean;
}

export function createContact(options: ClaimsOptions): Contact {
  const { membership, host, now } = options;
  const lossMs = options.startGraceMs ?? DEFAULT_LOSS_MS;
  const pauseMs = options.pauseMs ?? lossMs;
  let lastStepAt = now();
  let contactAt = now();
  let isRead = false;

  function hasPeer(): boolean {
    return membership.live(host.dataCentre).some((id) => id !== host.id);
  }

  /** A paused process answers messages before its next step, so the gap is checked here too. */
  function checkGap(): void {
    if (now() - lastStepAt >= pauseMs || now() - contactAt >= lossMs) isRead = false;
  }

  return {
    noteStep: () => {
      checkGap();
      lastStepAt = now();
      if (hasPeer()) contactAt = now();
    },
    noteRead: () => {
      isRead = true;
      contactAt = now();
    },
    isCurrent: () => {
      checkGap();
      return isRead;
    },
  };
}
