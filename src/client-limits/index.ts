/**
 * Limits for clients that the host does not control: memory for what is not finished, connections, pipelined requests
 * and time. They apply to every listener of a host.
 */
export * from './body-collector.js';
export * from './byte-budget.js';
export * from './client-guard.js';
export * from './connection-guard.js';
export * from './fragmented-bodies.js';
export * from './limit-log.js';
export * from './limits.js';
export * from './message-guard.js';
export * from './request-body.js';
export * from './turn-gate.js';
