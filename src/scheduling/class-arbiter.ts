/**
 * Divides starts between urgent and deferrable work while both wait.
 */
import type { WorkClass } from '../model/index.js';

export interface ClassArbiter {
  /** Whether urgent work is tried first for the next start. */
  urgentFirst(): boolean;
  /** Counts a start that was made while both kinds waited. */
  started(workClass: WorkClass, deferrableAged: boolean): void;
}

/** Share of the starts that deferrable work gets once it has waited for the aging time. */
const AGED_SHARE = 0.5;
/** Unused turns do not add up, so that urgent work never waits for a series of deferrable starts. */
const MAX_CREDIT = 1;
/** Absorbs the rounding of summed shares. */
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
