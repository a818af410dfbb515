/**
 * Evacuations of data centres: which are requested in the store.
 */
export * from './evacuations.js';
