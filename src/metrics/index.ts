/**
 * Metrics.
 */
export * from './metrics.js';
