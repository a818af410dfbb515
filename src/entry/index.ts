/**
 * The entry host: assembles all parts into one process.
 */
export * from './entry-host.js';
