/**
 * Claims record which entry host holds each worker and which one is the home of each bucket of
 * request ids.
 */
export * from './claim.js';
export * from './claims.js';
export * from './options.js';
