/**
 * Scheduling on one entry host: queues, fair shares, placement and reservations.
 */
export * from './never-fits.js';
export * from './options.js';
export * from './order.js';
export * from './placement.js';
export * from './policy.js';
export * from './scheduler.js';
