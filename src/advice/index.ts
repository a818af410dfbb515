/**
 * Interface of calls to the advice service.
 */
export * from './advice.js';
