/**
 * Entry hosts and the view that each of them has of the others.
 */
export * from './choose-peers.js';
export * from './heartbeat.js';
export * from './membership.js';
export { rendezvousOrder } from './rendezvous.js';
