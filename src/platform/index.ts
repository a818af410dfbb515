/**
 * Clients of the platform's key-value service and host list.
 */
export { describeError, wasNeverSent, type HttpOptions } from './http.js';
export * from './http-host-list.js';
export * from './http-store.js';
export * from './memory-store.js';
export * from './store.js';
export * from './update-record.js';
