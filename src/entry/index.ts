/**
 * The entry host: assembles all components into one process.
 */
export * from './entry-host.js';
