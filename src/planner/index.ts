/**
 * Decisions of the leader, free of I/O: order of the waiting steps, placement and worker health.
 */
export * from './candidates.js';
export type { Hold, Holds } from './locality.js';
export * from './order.js';
export * from './plan.js';
export { countAtLeast, slotsIn } from './pool.js';
export * from './worker-health.js';
