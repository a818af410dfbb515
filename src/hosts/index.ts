/**
 * Membership of entry hosts, their heartbeats, and the choice of hosts to link to.
 */
export * from './choose-peers.js';
export * from './heartbeat.js';
export * from './membership.js';
export { rendezvousOrder } from './rendezvous.js';
