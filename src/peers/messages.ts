/**
 * Messages between a host and the leader. The leader distributes calls to the advice service over the connected
 * hosts, because the service handles one call at a time per calling host. It notifies hosts of jobs that have ended
 * and reports when the store rejects it. Hosts notify the leader of jobs that they accept, which saves a call to
 * the store per job, and forward calls while the store rejects them. A former leader that is cut off from the store
 * learns of its successor from the hosts that leave it, and reports to the successor what workers tell it.
 */

import type { Permit } from '../advice/index.js';
import type { RelayedAnswer, RelayedCall } from '../intake/index.js';
import type { Job, JobState, ReportedEnd } from '../jobs/index.js';
import type { Leader } from '../leadership/index.js';

/** First message that a host sends on a new link. */
export interface Hello {
  readonly kind: 'hello';
  readonly host: string;
  /** Number of cores of the host. */
  readonly processors: number;
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
  /** Reason of the failure; empty on success. */
  readonly failure: string;
}

/** A call that a host forwards because it cannot reach the store. */
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
  /** Milliseconds since the sender accepted the job; senders of an earlier version do not tell. */
  readonly ageMs?: number;
}

/** A job that this host accepted has ended, and its record is durable. */
export interface JobEnded {
  readonly kind: 'job-ended';
  readonly job: string;
  readonly state: JobState;
}

/** The store rejects the leader; a host that reaches the store should take over. */
export interface LeaderTurnedAway {
  readonly kind: 'leader-turned-away';
}

/** The sender leaves the receiver because another host leads. */
export interface LeaderChanged {
  readonly kind: 'leader-changed';
  readonly leader: Leader;
}

/** An end that a former leader has read from a worker, which the present leader may not reach. */
export interface RunEnded {
  readonly kind: 'run-ended';
  readonly end: ReportedEnd;
}

export type PeerMessage =
  | Hello
  | AdviceRequest
  | AdviceResponse
  | CallRequest
  | CallResponse
  | JobAccepted
  | JobEnded
  | LeaderChanged
  | LeaderTurnedAway
  | RunEnded;
