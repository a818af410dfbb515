/**
 * Structured log and metrics of a host.
 */
export * from './contain-errors.js';
export * from './entry-reader.js';
export * from './event-log.js';
export * from './fault-containment.js';
export * from './meters.js';
export * from './share-within-turn.js';
