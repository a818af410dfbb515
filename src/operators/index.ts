/**
 * The HTTP API for operators.
 */
export * from './app.js';
export * from './backend.js';
export * from './rows.js';
