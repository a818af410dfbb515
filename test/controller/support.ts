/** Fixtures and helpers of the tests of the controller. */
import type { FleetWorker } from '../../src/fleet/index.js';
import type { JobProgress, StepProgress, TaskProgress } from '../../src/jobs/index.js';
import { createProgress, openTask } from '../../src/jobs/index.js';
import { STEP } from '../jobs/support.js';

export interface SingleTask {
  readonly progress: JobProgress;
  readonly step: StepProgress;
  readonly task: TaskProgress;
}

/** Builds a job with one task, whose first run can be created at once. */
export function createSingleTask(estimateMs: number): SingleTask {
  const progress = createProgress({
    id: 'job',
    team: 'lawns',
    queue: 'lookup',
    service: 'rota',
    spec: 'text',
    steps: [{ ...STEP, count: 1, estimateMs }],
    acceptedAtMs: 0,
    acceptedBy: 'h1',
  });
  const step = progress.occurrences.get(0)?.steps[0];
  const task = step === undefined ? undefined : openTask(step, 0);
  if (step === undefined || task === undefined) throw new Error('the job has no task');
  task.run = 1;
  return { progress, step, task };
}

/** Entry of the worker w1 that was started at `born`. */
export function createWorkerEntry(born: number, fields: Partial<FleetWorker> = {}): FleetWorker {
  return {
    incarnation: { id: 'w1', born },
    address: '127.0.0.1:1',
    service: 'rota',
    dataCentre: 'dc1',
    state: 'ready',
    room: { processors: 8, memoryMb: 100, accelerators: 0 },
    labels: [],
    rack: 'r1',
    leavesInMs: undefined,
    ...fields,
  };
}

const TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 2;

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Polls until a value is returned, and fails after a timeout. */
export async function eventually<T>(
  poll: () => T | undefined,
  condition: string,
  timeoutMs = TIMEOUT_MS,
): Promise<T> {
  const giveUpAt = performance.now() + timeoutMs;
  for (;;) {
    const result = poll();
    if (result !== undefined) return result;
    if (performance.now() > giveUpAt) throw new Error(`timed out waiting for ${condition}`);
    await pause(POLL_INTERVAL_MS);
  }
}

/** Returns the value, or fails the test if it is undefined. */
export function expectDefined<T>(value: T | undefined): T {
  if (value === undefined) throw new Error('expected a value, got undefined');
  return value;
}
