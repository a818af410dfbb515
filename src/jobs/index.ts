/**
 * Jobs with their steps and tasks, their progress, and how both are stored.
 */
export * from './job.js';
export * from './progress.js';
export * from './records.js';
export * from './task-name.js';
