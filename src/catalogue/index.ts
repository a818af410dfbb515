/**
 * The operators' catalogue of work, with teams and keys.
 */
export * from './finding.js';
export * from './key.js';
