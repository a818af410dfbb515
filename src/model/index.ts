/**
 * Types that all other folders share: resources, work, outcomes and the machines of the fleet.
 */
export * from './fleet.js';
export * from './outcome.js';
export * from './request-id.js';
export * from './request-state.js';
export * from './resources.js';
export * from './socket-address.js';
export * from './work.js';
