/** Loads of the simulated cell. */
import type { SimulatedQueue, SimulationOptions } from './simulated-cell.js';

/** Urgent work: three tasks of ten cores for about half a second. */
export const CHECKS: SimulatedQueue = {
  name: 'checks',
  service: 'seams',
  priority: 0,
  stretch: 1.5,
  targetLatencyMs: 275,
  tasks: 3,
  processors: 10,
  workMs: 550,
  estimateError: 0.2,
  load: 0.45,
};

/** Deferrable work: 25 tasks of seven cores for some seconds, with poor estimates. */
export const PATTERNS: SimulatedQueue = {
  name: 'patterns',
  service: 'seams',
  priority: 1,
  stretch: 2,
  targetLatencyMs: 4000,
  tasks: 25,
  processors: 7,
  workMs: 2500,
  estimateError: 0.9,
  load: 0.44,
};

/** A cell with five teams that uses 89 % of its cores. */
export const DAY: Pick<SimulationOptions, 'queues' | 'teams' | 'loadFactor'> = {
  queues: [CHECKS, PATTERNS],
  teams: ['t1', 't2', 't3', 't4', 't5'],
  loadFactor: () => 1,
};
