/**
 * Jobs with their steps and tasks, their progress, and how both are stored.
 */
export * from './index-spans.js';
export * from './job.js';
export * from './job-size.js';
export * from './progress.js';
export * from './records.js';
export * from './run-end.js';
export * from './task-name.js';
