/**
 * The platform's key-value service and host list.
 */
export * from './memory-store.js';
export * from './store.js';
export * from './update-record.js';
