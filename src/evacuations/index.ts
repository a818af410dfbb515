/**
 * Evacuations of data centres: which are requested in the store, and their reports to operators.
 */
export * from './evacuations.js';
export * from './monitor.js';
