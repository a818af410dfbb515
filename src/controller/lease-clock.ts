/**
 * Estimates a worker's clock and the end of the lease that it may hold. Both are conservative: the clock is never
 * estimated ahead of the worker's own, and every extension that may have reached the worker counts.
 *
 * Deadlines of calls that were meant for another incarnation, or that another leader has sent, are unknown here or given in
 * another clock. A worker that has answered a call takes none of them any more, because their fencing tokens are
 * lower. So its lease ends at most the longest lease after that answer.
 *
 * Likewise, calls that are meant for this incarnation may be taken by a later one that the leader does not know yet. Its
 * clock has begun anew, so a deadline says nothing there, and it keeps the longest lease from the last such call.
 */

/** The fraction by which a worker's clock may run slow. */
const CLOCK_DRIFT = 0.02;
/** Time that a worker has to end all its runs after its lease has expired. */
const EXPIRY_MARGIN_MS = 500;
/** Where the settings name no longest lease. */
const MAX_LEASE_MS = 10_000;
/** Error of a clock that is given in whole milliseconds. */
const CLOCK_ROUNDING_MS = 1;

/** Milliseconds within which a lease that begins now has certainly expired, unless it is extended. */
export function longestLeaseMs(maxLeaseMs = MAX_LEASE_MS): number {
  return maxLeaseMs / (1 - CLOCK_DRIFT) + EXPIRY_MARGIN_MS;
}

/** A reading of the worker's clock. */
interface Reading {
  readonly workerMs: number;
  /** Monotonic time at which the answer arrived. */
  readonly at: number;
}

/** Which incarnation has given an answer, as far as the clock in it tells. */
export type AnswerOrigin = 'own' | 'later' | 'uncertain';

export interface LeaseClock {
  /** Current estimate of the worker's clock in milliseconds; 0 before the first answer. */
  now(): number;
  /** Records the worker's clock from an answer that has just arrived. */
  note(workerMs: number | undefined): void;
  /** Records the clock in a report that names the incarnation and was requested at the given monotonic time. */
  noteReport(workerMs: number, requestedAt: number): void;
  /**
   * Called when a call is sent. The result tells which incarnation has answered it, by the clock in the answer: the
   * clock of an incarnation runs on steadily, and that of a later one has begun anew, not always at 0.
   */
  trackCall(): (workerMs: number) => AnswerOrigin;
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
  /** Monotonic time from which a lease has certainly expired that no call after the given time extends. */
  longestLeaseAfter(takenUntil: number): number;
  /** Monotonic time from which the lease has certainly expired and all runs have ended, unless it is extended. */
  expiresAt(): number;
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
  let reading: Reading | undefined;
  let leaseUntilMs = 0;
  /** The clock in the last report of this incarnation, which was alive when the report was requested. */
  let reported: { readonly workerMs: number; readonly requestedAt: number } | undefined;

  function note(workerMs: number | undefined) {
    if (workerMs === undefined) return;
    if (reading !== undefined && workerMs <= reading.workerMs) return;
    reading = { workerMs, at: monotonicNow() };
  }

  function trackCall() {
    const known = reading;
    const sentAt = monotonicNow();
    return (workerMs: number): AnswerOrigin => {
      if (known === undefined || reported === undefined) return 'uncertain';
      const sinceReportMs = monotonicNow() - reported.requestedAt;
      const latestMs = reported.workerMs + sinceReportMs * (1 + CLOCK_DRIFT);
      if (workerMs < known.workerMs || workerMs > latestMs + CLOCK_ROUNDING_MS) return 'later';
      const earliestMs = known.workerMs + (sentAt - known.at) * (1 - CLOCK_DRIFT);
      // The clock of an incarnation that has started at 0 since the report may be as far while this one is young.
      const isOwn =
        workerMs >= earliestMs - CLOCK_ROUNDING_MS && workerMs > sinceReportMs + CLOCK_ROUNDING_MS;
      return isOwn ? 'own' : 'uncertain';
    };
  }

  const longestLeaseAfter = (takenUntil: number) => takenUntil + longestLeaseMs(maxLeaseMs);

  function expiresAt(): number {
    if (!isConfirmed() || reading === undefined) {
      return Math.max(foreignLeaseUntil, inheritedLeaseUntil());
    }
    const leftMs = leaseUntilMs + EXPIRY_MARGIN_MS - reading.workerMs;
    return Math.max(foreignLeaseUntil, reading.at + leftMs / (1 - CLOCK_DRIFT));
  }

  return {
    now: () => (reading === undefined ? 0 : reading.workerMs + (monotonicNow() - reading.at)),
    note,
    noteReport: (workerMs, requestedAt) => {
      reported = { workerMs, requestedAt };
      note(workerMs);
    },
    trackCall,
    reach: (workerMs) => {
      leaseUntilMs = Math.max(leaseUntilMs, workerMs + maxLeaseMs);
      foreignLeaseUntil = -Infinity;
    },
    extend: (untilMs) => {
      leaseUntilMs = Math.max(leaseUntilMs, untilMs);
    },
    noteForeignExtension: (underWayUntil) => {
      const leaseUntil = longestLeaseAfter(Math.max(monotonicNow(), underWayUntil));
      foreignLeaseUntil = Math.max(foreignLeaseUntil, leaseUntil);
    },
    longestLeaseAfter,
    expiresAt,
  };
}
