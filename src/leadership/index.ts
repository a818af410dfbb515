/**
 * Election of the host that decides placement.
 */
export * from './election.js';
export * from './load-watch.js';
export { createStrengthWatch } from './strength.js';
