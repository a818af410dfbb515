/**
 * The durable store as the product sees it, and followers of its keys.
 */
export * from './follow-prefix.js';
export * from './pause.js';
export * from './reachability.js';
export * from './key-value-store.js';
