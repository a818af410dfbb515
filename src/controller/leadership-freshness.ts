/**
 * Decides whether a leader may still send orders whose record has become durable. A process can be paused or delayed
 * for seconds between the answer of the store and the order, and another host may lead by then.
 */
import { LEADER_LEASE_MS } from '../leadership/index.js';

export interface LeadershipTimes {
  readonly nowMs: number;
  /** Time at which the write of the order began; it succeeded under the leader's key. */
  readonly writtenAt: number;
  /** Time of the last confirmed renewal of the leader's lease; undefined if this host does not lead. */
  readonly renewedAt: number | undefined;
}

/** Whether the leadership was confirmed recently enough; all times are monotonic milliseconds. */
export function isLeadershipFresh({ nowMs, writtenAt, renewedAt }: LeadershipTimes): boolean {
  if (renewedAt === undefined) return false;
  // Either is a proof. During an outage of the store writes take seconds, but then the next renewal confirms the lease.
  return nowMs - Math.max(writtenAt, renewedAt) < LEADER_LEASE_MS;
}
