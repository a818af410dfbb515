/**
 * When the runs on a silent worker have certainly ended. A run that the session's incarnation is known to have ends with that
 * one's lease. Any other may be at a later incarnation, which the leader does not know, and ends with the longest lease
 * after the last call of the session that such a one may have taken.
 */
import type { LeaseClock } from './lease-clock.js';
import { mayBeAtLaterIncarnation } from './run.js';
import type { Run } from './run.js';

export interface RunExpiry {
  /** Monotonic time until which a call without an answer may still be carried out. */
  readonly callsUnderWayUntil: number;
  /** Records that a call was not answered, which may be carried out until the given monotonic time. */
  readonly noteUnanswered: (underWayUntil: number) => void;
  /** Records that a start has just been answered, perhaps by a later incarnation. */
  readonly noteUncertainAnswer: () => void;
  /** Records a report of the incarnation, which was alive when the report was requested. */
  noteReport(requestedAt: number): void;
  /** Monotonic time from which the run has certainly ended at each incarnation that may have it. */
  expiresAt(run: Run): number;
}

export interface RunExpiryOptions {
  readonly clock: LeaseClock;
  /** Whether the worker has answered this leader; until then the clock bounds all leases of its incarnations. */
  readonly isConfirmed: () => boolean;
  /** This host's monotonic clock in milliseconds. */
  readonly monotonicNow?: () => number;
}

export function createRunExpiry(options: RunExpiryOptions): RunExpiry {
  const { clock, isConfirmed, monotonicNow = () => performance.now() } = options;
  let callsUnderWayUntil = -Infinity;
  let uncertainAnswerAt = -Infinity;
  let aliveAt = -Infinity;
  return {
    get callsUnderWayUntil() {
      return callsUnderWayUntil;
    },
    noteUnanswered: (underWayUntil) => {
      callsUnderWayUntil = underWayUntil;
    },
    noteUncertainAnswer: () => {
      uncertainAnswerAt = monotonicNow();
    },
    noteReport: (requestedAt) => {
      aliveAt = requestedAt;
    },
    expiresAt: (run) => {
      const ownLeaseEnd = clock.expiresAt();
      if (!isConfirmed() || !mayBeAtLaterIncarnation(run, aliveAt)) return ownLeaseEnd;
      const takenUntil = Math.max(run.lateStartUntil, callsUnderWayUntil, uncertainAnswerAt);
      return Math.max(ownLeaseEnd, clock.longestLeaseAfter(takenUntil));
    },
  };
}
