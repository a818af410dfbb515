/**
 * What every host does for callers: accept jobs, cancel them and tell their state.
 */
export * from './cancellations.js';
export * from './job-reader.js';
export * from './submissions.js';
export * from './caller-service.js';
export * from './configuration-feed.js';
export * from './relay.js';
