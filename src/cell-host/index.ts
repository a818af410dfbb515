/**
 * Host of a cell: serves callers, takes part in elections and leads when elected.
 */
export * from './cell-host.js';
