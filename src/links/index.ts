/**
 * Links between entry hosts.
 */
export * from './links.js';
export * from './types.js';
