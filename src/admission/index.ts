/**
 * Admission of jobs: whether the cell has room in memory for another one, and whether its result would come in time to
 * be of use. The leader publishes what the hosts decide from.
 */
export * from './expected-wait.js';
export * from './flow-meter.js';
export * from './open-work-admission.js';
export { expectedWorkMs } from './rivals.js';
export type { WaitingWork } from './rivals.js';
export * from './wait-gate.js';
export * from './wait-publication.js';
export * from './wait-record.js';
