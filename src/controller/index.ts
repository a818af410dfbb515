/**
 * The scheduler that runs on the leader: restores the cell, places tasks and tracks them to their end.
 */
export * from './controller.js';
export type { CellLoad, Controller, ControllerOptions } from './controller-types.js';
export type { FleetSource } from './fleet-entries.js';
export { SILENT_WORKERS_KEY } from './silent-workers.js';
export type { SeenRecord } from './silent-workers.js';
