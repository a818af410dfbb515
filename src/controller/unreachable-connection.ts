/** Connection of a worker without a known address. */
import type { WorkerConnection } from '../fleet/index.js';

const UNREACHABLE_OUTCOME = { kind: 'refused', reason: 'unreachable', clockMs: undefined } as const;

export const UNREACHABLE_CONNECTION: WorkerConnection = {
  start: () => Promise.resolve(UNREACHABLE_OUTCOME),
  stop: () => Promise.resolve(UNREACHABLE_OUTCOME),
  renew: () => Promise.resolve(UNREACHABLE_OUTCOME),
  close: () => undefined,
};
