/**
 * Entry hosts and the view that each of them has of the others.
 */
export * from './heartbeat.js';
