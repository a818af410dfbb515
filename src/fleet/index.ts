/**
 * Workers of the fleet, the orders that they accept and their reports.
 */
export * from './worker.js';
