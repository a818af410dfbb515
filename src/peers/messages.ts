/**
 * Messages between a host and the leader. The leader hands calls to the advice service to the hosts
 * that are connected to it, because the service serves one call at a time for each calling host, and tells
 * them of jobs that have ended while the store does not take their records, and that it is turned away.
 */

export interface Permit {
  readonly worker: string;
  readonly ticket: string;
}

/** First message of a host on a new link. */
export interface Hello {
  readonly kind: 'hello';
  readonly host: string;
  /** What the host has, in cores. */
  readonly processors: number;
  /** Jobs that former leaders told this host to be completed, which the present one may not know. */
  readonly completed: readonly string[];
}

export interface AdviceRequest {
  readonly kind: 'advice-request';
  readonly id: number;
  readonly step: string;
  readonly workers: readonly string[];
}

export interface AdviceResponse {
  readonly kind: 'advice-response';
  readonly id: number;
  readonly permits: readonly Permit[];
  readonly validMs: number;
  /** Why there is no answer; empty for a success. */
  readonly failure: string;
}

/** All tasks of the job have ended as done; its record is not in the store yet. */
export interface JobCompleted {
  readonly kind: 'job-completed';
  readonly job: string;
}

/** The store turns the leader away; a host that reaches the store should lead. */
export interface LeaderTurnedAway {
  readonly kind: 'leader-turned-away';
}

export type PeerMessage = Hello | AdviceRequest | AdviceResponse | JobCompleted | LeaderTurnedAway;
