/**
 * Structured log and metrics of a host.
 */
export * from './event-log.js';
export * from './meters.js';
