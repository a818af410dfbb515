/**
 * Estimates a worker's clock and the end of the lease that it may hold. Both are conservative: the clock is never
 * estimated ahead of the worker's own, and every extension that may have reached the worker counts.
 *
 * Deadlines of calls that were meant for another incarnation, or that another leader has sent, are unknown here or given in
 * another clock. A worker that has answered a call takes none of them any more, because their fencing tokens are
 * lower. So its lease ends at most the longest lease after that answer.
 */

/** The fraction by which a worker's clock may run slow. */
const CLOCK_DRIFT = 0.02;
/** Time that a worker has to end all its runs after its lease has expired. */
const EXPIRY_MARGIN_MS = 500;
/** Where the settings name no longest lease. */
const MAX_LEASE_MS = 10_000;

/** Which incarnation has given an answer, as far as the clock in it tells. */
export type AnswerOrigin = 'later' | 'uncertain';

export interface LeaseClock {
  /** Current estimate of the worker's clock in milliseconds; 0 before the first answer. */
  now(): number;
  /** Records the worker's clock from an answer that has just arrived. */
  note(workerMs: number | undefined): void;
  /**
   * Called when a call is sent. The result tells which incarnation has answered it, by the clock in the answer: the
   * clock of an incarnation never runs backwards, and that of a later one has begun anew.
   */
  trackCall(): (workerMs: number | undefined) => AnswerOrigin;
  /**
   * Records that a call with a later fencing token than all those of other sessions was answered at this time of the
   * worker's clock.
   */
  reach(workerMs: number): void;
  /** Records that a call that extends the lease until then was sent or is about to be. */
  extend(untilMs: number): void;
  /**
   * Records that a call for an earlier incarnation may extend the lease until it is no longer under way, at the given
   * monotonic time, or until the worker is reached.
   */
  noteForeignExtension(underWayUntil: number): void;
  /** Monotonic time from which the lease has certainly expired and all runs have ended, unless it is extended. */
  expiresAt(): number;
  hasExpired(): boolean;
}

export interface LeaseClockOptions {
  /** Latest end of a lease that a previous leader may have granted, on this host's monotonic clock. */
  readonly inheritedLeaseUntil: () => number;
  /** Whether the worker has answered this leader; its own clock then replaces the inherited bound. */
  readonly isConfirmed: () => boolean;
  /** The longest lease that the worker keeps, whatever a call says. */
  readonly maxLeaseMs?: number;
  /** This host's monotonic clock in milliseconds. */
  readonly monotonicNow?: () => number;
}

export function createLeaseClock(options: LeaseClockOptions): LeaseClock {
  const { inheritedLeaseUntil, isConfirmed, maxLeaseMs = MAX_LEASE_MS } = options;
  const { monotonicNow = () => performance.now() } = options;
  /** Monotonic time until which a lease may last that a call for an earlier incarnation has extended. */
  let foreignLeaseUntil = -Infinity;
  let reading: { workerMs: number; at: number } | undefined;
  let leaseUntilMs = 0;

  function expiresAt(): number {
    if (!isConfirmed() || reading === undefined) {
      return Math.max(foreignLeaseUntil, inheritedLeaseUntil());
    }
    const leftMs = leaseUntilMs + EXPIRY_MARGIN_MS - reading.workerMs;
    return Math.max(foreignLeaseUntil, reading.at + leftMs / (1 - CLOCK_DRIFT));
  }

  return {
    now: () => (reading === undefined ? 0 : reading.workerMs + (monotonicNow() - reading.at)),
    note: (workerMs) => {
      if (workerMs === undefined) return;
      if (reading !== undefined && workerMs <= reading.workerMs) return;
      reading = { workerMs, at: monotonicNow() };
    },
    trackCall: () => {
      const known = reading;
      return (workerMs) => {
        const isBehind = known !== undefined && workerMs !== undefined && workerMs < known.workerMs;
        return isBehind ? 'later' : 'uncertain';
      };
    },
    reach: (workerMs) => {
      leaseUntilMs = Math.max(leaseUntilMs, workerMs + maxLeaseMs);
      foreignLeaseUntil = -Infinity;
    },
    extend: (untilMs) => {
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    },
    noteForeignExtension: (underWayUntil) => {
      const latest = Math.max(monotonicNow(), underWayUntil);
      const leaseUntil = latest + maxLeaseMs / (1 - CLOCK_DRIFT) + EXPIRY_MARGIN_MS;
      foreignLeaseUntil = Math.max(foreignLeaseUntil, leaseUntil);
    },
    expiresAt,
    hasExpired: () => monotonicNow() > expiresAt(),
  };
}
