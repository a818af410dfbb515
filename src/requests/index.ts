/**
 * Request ids and requests: homes that admit each id at most once, and the state of requests on
 * this host.
 */
export * from './homes.js';
export * from './homes-options.js';
export * from './id-record.js';
export * from './locate-home.js';
export * from './request-table.js';
