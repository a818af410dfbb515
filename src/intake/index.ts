/**
 * The service that every host offers to callers: submit jobs, cancel them and query their state.
 */
export * from './await-end.js';
export * from './cancellations.js';
export * from './job-reader.js';
export * from './submissions.js';
export * from './caller-service.js';
export * from './configuration-feed.js';
export * from './relay.js';
