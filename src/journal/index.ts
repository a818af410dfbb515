/**
 * The journal stores records of accepted jobs.
 */
export type { JobRecord, StartedTask } from './job-record.js';
export * from './journal.js';
export * from './options.js';
