/** A step that tests vary. */
import type { Step } from '../../src/jobs/index.js';

export const STEP: Step = {
  count: 3,
  size: { processors: 1, memoryMb: 100, accelerators: 0 },
  estimateMs: 100,
  after: [],
  gang: false,
  checkpointing: false,
  rackSensitive: false,
  speculative: false,
  longRunning: false,
};
