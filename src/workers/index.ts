/**
 * Workers: their client, ledger and health.
 */
export * from './client.js';
export * from './health.js';
export * from './ledger.js';
export * from './task.js';
