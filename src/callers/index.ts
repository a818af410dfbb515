/**
 * The interface for callers: submissions, outcomes, receipts and cancellation over HTTP.
 */
export * from './app.js';
export { readBearerToken } from './authorization.js';
export * from './backend.js';
export { createProblem, REFUSAL_STATUS, UNKNOWN_STATUS } from './problem.js';
export { readBody } from './submission.js';
