/**
 * Logging.
 */
export * from './log.js';
