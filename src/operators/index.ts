/**
 * The interface for operators over HTTP.
 */
export * from './app.js';
export * from './backend.js';
export * from './rows.js';
