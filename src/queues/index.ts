/**
 * Configuration of queues, teams and services, and the active configuration of a host.
 */
export * from './configuration.js';
export * from './configuration-holder.js';
