/**
 * Workers: their client, ledger and health.
 */
export * from './client.js';
export * from './task.js';
