/**
 * Logging of a host's components.
 */
export * from './create-log.js';
export * from './log.js';
