/**
 * Deduplication of requests: homes that admit each request id at most once, and the state of the
 * requests on this host.
 */
export * from './homes.js';
export * from './homes-options.js';
export * from './id-record.js';
export * from './locate-home.js';
export * from './request-table.js';
