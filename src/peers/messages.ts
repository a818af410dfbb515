/**
 * Messages between a host and the leader. The leader hands calls to the advice service to the hosts
 * that are connected to it, because the service serves one call at a time for each calling host, and tells
 * them of jobs that have ended, and that the store turns it away. Hosts tell the leader of jobs that they accept,
 * which saves a call to the store for each job, and hand over calls while the store turns them away.
 */

import type { RelayedAnswer, RelayedCall } from '../intake/index.js';
import type { Job, JobState } from '../jobs/index.js';

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

/** A call of a caller whose host cannot reach the store. */
export interface CallRequest {
  readonly kind: 'call-request';
  readonly id: number;
  readonly call: RelayedCall;
}

export interface CallResponse {
  readonly kind: 'call-response';
  readonly id: number;
  readonly answer: RelayedAnswer;
}

/** The sender has accepted the job, whose record is durable. */
export interface JobAccepted {
  readonly kind: 'job-accepted';
  readonly job: Job;
}

/** A job that this host accepted has ended, and its record is durable. */
export interface JobEnded {
  readonly kind: 'job-ended';
  readonly job: string;
  readonly state: JobState;
}

/** The store turns the leader away; a host that reaches the store should lead. */
export interface LeaderTurnedAway {
  readonly kind: 'leader-turned-away';
}

export type PeerMessage =
  | Hello
  | AdviceRequest
  | AdviceResponse
  | CallRequest
  | CallResponse
  | JobAccepted
  | JobCompleted
  | JobEnded
  | LeaderTurnedAway;
