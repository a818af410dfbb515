/**
 * Workers: their client, ledger and health.
 */
export * from './task.js';
