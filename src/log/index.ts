/**
 * Logging.
 */
export * from './create-log.js';
export * from './log.js';
