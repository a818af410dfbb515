/**
 * Metrics in the StatsD format.
 */
export * from './metrics.js';
