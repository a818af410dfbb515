/**
 * Forecast of the speed of workers, the work of tasks and the ends of runs, learned from runs that have ended.
 */
export * from './expected-end.js';
export * from './forecast.js';
