/**
 * Settings of the daemon.
 */
export * from './settings.js';
