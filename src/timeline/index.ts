/**
 * Timelines of events in causal order, and timelines read from logs.
 */
export * from './hybrid-clock.js';
export * from './log-lines.js';
export * from './timeline.js';
