/**
 * The interface for callers: submissions, outcomes, receipts and cancellation over HTTP.
 */
export * from './app.js';
export { REFUSAL_STATUS, UNKNOWN_STATUS } from './problem.js';
