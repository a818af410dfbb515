/**
 * Stores, distributes and applies the operators' configuration.
 */
export * from './apply.js';
export * from './holder.js';
export * from './key-freshness.js';
export * from './record.js';
