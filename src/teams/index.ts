/**
 * Upper limits of teams.
 */
export * from './allotments.js';
export { parseAllotmentRecord, type AllotmentPart, type AllotmentRecord } from './record.js';
