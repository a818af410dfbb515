/**
 * The library: the components of an entry daemon, for embedding it and for tools.
 */
export * from './catalogue/index.js';
export * from './cell-host/index.js';
export * from './entry/index.js';
export * from './hosts/index.js';
export * from './model/index.js';
export * from './platform/index.js';
export * from './settings/index.js';
export * from './timeline/index.js';
export * from './workers/index.js';
