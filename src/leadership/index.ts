/**
 * Election of the leader, the host that decides placement, and hand-over from overloaded or weak leaders.
 */
export * from './election.js';
export { TOKENS_PER_TERM } from './leadership-records.js';
export type { Leader } from './leadership-records.js';
export * from './load-monitor.js';
export * from './open-work.js';
export { createStrengthMonitor } from './strength.js';
