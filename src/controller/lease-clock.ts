/**
 * Estimates a worker's clock and the end of the lease that it may hold. Both are conservative: the clock is never
 * estimated ahead of the worker's own, and every extension that may have reached the worker counts.
 */

/** The fraction by which a worker's clock may run slow. */
const CLOCK_DRIFT = 0.02;
/** Time that a worker has to end all its runs after its lease has expired. */
const EXPIRY_MARGIN_MS = 500;

export interface LeaseClock {
  /** Current estimate of the worker's clock in milliseconds; 0 before the first answer. */
  now(): number;
  /** Records the worker's clock from an answer that has just arrived. */
  note(workerMs: number | undefined): void;
  /** Records that a call that extends the lease until then was sent or is about to be. */
  extend(untilMs: number): void;
  /** Whether the lease has certainly expired and all runs have ended. */
  hasExpired(): boolean;
}

export interface LeaseClockOptions {
  /** Latest end of a lease that a previous leader may have granted, on this host's monotonic clock. */
  readonly inheritedLeaseUntil: number;
  /** Whether the worker has answered this leader; its own clock then replaces the inherited bound. */
  readonly isConfirmed: () => boolean;
  /** This host's monotonic clock in milliseconds. */
  readonly monotonicNow?: () => number;
}

export function createLeaseClock(options: LeaseClockOptions): LeaseClock {
  const { inheritedLeaseUntil, isConfirmed, monotonicNow = () => performance.now() } = options;
  let reading: { workerMs: number; at: number } | undefined;
  let leaseUntilMs = 0;
  return {
    now: () => (reading === undefined ? 0 : reading.workerMs + (monotonicNow() - reading.at)),
    note: (workerMs) => {
      if (workerMs === undefined) return;
      if (reading !== undefined && workerMs <= reading.workerMs) return;
      reading = { workerMs, at: monotonicNow() };
    },
    extend: (untilMs) => {
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    },
    hasExpired: () => {
      const now = monotonicNow();
      if (!isConfirmed() || reading === undefined) return now > inheritedLeaseUntil;
      const workerMs = reading.workerMs + (now - reading.at) * (1 - CLOCK_DRIFT);
      return workerMs > leaseUntilMs + EXPIRY_MARGIN_MS;
    },
  };
}
