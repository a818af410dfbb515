/**
 * Divides task starts between interactive and deferrable work while both are queued. Deferrable
 * work earns credit with each start and gets the next one once the credit reaches a whole start.
 */
import type { WorkClass } from '../model/index.js';

export interface ClassArbiter {
  /** Whether interactive work is tried first for the next start. */
  urgentFirst(): boolean;
  /** Records a start that was made while both kinds of work were queued. */
  started(workClass: WorkClass, deferrableAged: boolean): void;
}

/** Minimum share of the starts for deferrable work that has waited longer than the aging time. */
const AGED_SHARE = 0.5;
/** Caps the credit, so that interactive work never waits for several deferrable starts in a row. */
const MAX_CREDIT = 1;
/** Absorbs rounding errors in the sum of shares. */
const ROUNDING_TOLERANCE = 1e-9;

export function createClassArbiter(urgentShare: number): ClassArbiter {
  let credit = 0;
  return {
    urgentFirst: () => credit < MAX_CREDIT - ROUNDING_TOLERANCE,
    started: (workClass, deferrableAged) => {
      const share = deferrableAged ? Math.max(AGED_SHARE, 1 - urgentShare) : 1 - urgentShare;
      const spent = workClass === 'interactive' ? 0 : 1;
      credit = Math.max(0, Math.min(MAX_CREDIT, credit + share) - spent);
    },
  };
}
