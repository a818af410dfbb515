/**
 * Upper limits of teams, enforced without coordination for each start.
 */
export * from './allotments.js';
export { parseAllotmentRecord, type AllotmentPart, type AllotmentRecord } from './record.js';
