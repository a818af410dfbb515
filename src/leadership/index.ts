/**
 * Election of the host that decides placement.
 */
export * from './election.js';
export * from './load-monitor.js';
export { createStrengthMonitor } from './strength.js';
