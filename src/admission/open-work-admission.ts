/**
 * Decides whether the cell has room for another job. The leader holds all open jobs in memory and publishes how much
 * that is; what this host has accepted since may not be part of it yet.
 */
import type { OpenWork } from '../leadership/index.js';

export interface Admission {
  /** Applies what the leader has published; undefined if nothing valid is. */
  update(published: OpenWork | undefined): void;
  /** Whether a job of so many bytes is within the leader's limit. */
  hasRoom(bytes: number): boolean;
  recordAccepted(bytes: number): void;
}

export interface AdmissionOptions {
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

/** Time within which an accepted job is part of what the leader publishes. */
const PUBLICATION_MS = 2000;

export function createAdmission({
  now = () => performance.now(),
}: AdmissionOptions = {}): Admission {
  let published: OpenWork | undefined;
  let accepted: { readonly at: number; readonly bytes: number }[] = [];

  function recentBytes(): number {
    const since = now() - PUBLICATION_MS;
    accepted = accepted.filter(({ at }) => at > since);
    return accepted.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  return {
    update: (next) => {
      published = next;
    },
    hasRoom: (bytes) =>
      published === undefined ||
      published.openBytes + recentBytes() + bytes <= published.limitBytes,
    recordAccepted: (bytes) => {
      accepted.push({ at: now(), bytes });
    },
  };
}
