/**
 * WebSocket links between the leader and the other hosts, and their messages.
 */
export * from './hub.js';
export * from './link.js';
export * from './messages.js';
