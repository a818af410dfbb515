/**
 * Events in a causal order.
 */
export * from './hybrid-clock.js';
export * from './timeline.js';
