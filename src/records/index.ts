/**
 * The interface of the key-value store, followers of its keys, and detection of its recovery.
 */
export * from './follow-prefix.js';
export * from './latest-value-record.js';
export * from './pause.js';
export * from './reachability.js';
export * from './key-value-store.js';
