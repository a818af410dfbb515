/**
 * Parsing, validation and editing of the operators' configuration: teams, catalogue entries and
 * keys.
 */
export * from './catalogue.js';
export * from './diff.js';
export * from './edit-keys.js';
export * from './fields.js';
export * from './finding.js';
export * from './key.js';
export { propertiesOf } from './unchecked-properties.js';
export * from './source-document.js';
