/**
 * What is known of a worker's clock and of the lease that it may hold. Both are bounds: the clock estimate
 * never runs ahead of the worker, and the lease counts every extension that may have reached it.
 */

/** A worker's clock may be this much slow. */
const CLOCK_DRIFT = 0.02;
/** Time for a worker to end everything after its lease expired. */
const LAPSE_MARGIN_MS = 500;

export interface LeaseClock {
  /** Estimate of the worker's clock now, in milliseconds; 0 before the first answer. */
  now(): number;
  /** Takes over the clock of an answer that has just arrived. */
  note(workerMs: number | undefined): void;
  /** A call that extends the lease until then was or is being sent. */
  extend(untilMs: number): void;
  /** Whether the lease has certainly expired and everything has ended. */
  hasExpired(): boolean;
}

export interface LeaseClockOptions {
  /** Bound of the lease that a former leader may have given, on this host's monotonic clock. */
  readonly inheritedLeaseUntil: number;
  /** The worker has answered this leader, so that its clock counts instead of the inherited bound. */
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
      return workerMs > leaseUntilMs + LAPSE_MARGIN_MS;
    },
  };
}
