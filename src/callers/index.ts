/**
 * The HTTP API for callers: submission, status, outcomes and cancellation.
 */
export * from './app.js';
export { readBearerToken } from './authorization.js';
export * from './backend.js';
export { createProblem, REFUSAL_STATUS, UNKNOWN_STATUS } from './problem.js';
export { withBody } from './body.js';
export type { BodyLimits } from './body.js';
