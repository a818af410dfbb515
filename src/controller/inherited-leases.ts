/**
 * How long the leases may last that a former leader has left, counted from the election of its successor. The successor
 * knows none of the calls that are still under way, so it assumes the last one that any incarnation of a worker may take.
 */
import { longestLeaseMs } from './lease-clock.js';
import { LATE_ORDER_MS } from './run.js';

/**
 * A leader that cannot reach the store goes on extending leases for this long. A successor that cannot reach a worker
 * declares its runs lost only after the longest lease from then on.
 */
export const EXTEND_WITHOUT_STORE_MS = 10_000;

export interface InheritedLeaseOptions {
  /** The longest lease that a worker keeps, whatever a call says. */
  readonly maxLeaseMs?: number;
  /** Time for which an order of the former leader may still be carried out. */
  readonly lateOrderMs?: number;
}

export function maxInheritedLeaseMs(options: InheritedLeaseOptions = {}): number {
  const { maxLeaseMs, lateOrderMs = LATE_ORDER_MS } = options;
  // A later incarnation may take an order late, and its clock shortens no deadline below the longest lease.
  return Math.max(EXTEND_WITHOUT_STORE_MS, lateOrderMs) + longestLeaseMs(maxLeaseMs);
}
