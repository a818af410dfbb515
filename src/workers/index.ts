/**
 * HTTP client, resource ledger and health tracker of workers.
 */
export * from './client.js';
export * from './health.js';
export * from './ledger.js';
export * from './task.js';
