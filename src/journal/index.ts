/**
 * The journal: records of accepted jobs in the store.
 */
export type { JobRecord, StartedTask } from './job-record.js';
export * from './journal.js';
export * from './options.js';
