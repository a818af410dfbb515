/**
 * Guards against work that waits because tasks that take many times their estimate exclude sound workers.
 */
import { expect } from 'chai';
import { stopStalledRuns } from '../../src/controller/job-lifecycle.js';
import { createRun } from '../../src/controller/run.js';
import type { Run } from '../../src/controller/run.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createWorkerHealth } from '../../src/planner/index.js';
import { createSingleTask } from '../controller/support.js';

/** An accepted job must not wait longer than this while there is room for it. */
const MAX_IDLE_MS = 3000;
const ESTIMATE_MS = 2000;

describe('tasks of one job that stall together on one worker', () => {
  // Each run doubled the exclusion, so that four tasks excluded a worker for 12 s at once.
  it('exclude it no longer than one would', () => {
    let now = 0;
    const runs = new Map<string, Run>();
    const session = { incarnation: { id: 'w1', born: 1 }, runs } as unknown as WorkerSession;
    for (let index = 0; index < 4; index += 1) {
      const name = `job.0.0.${String(index)}`;
      const run = createRun({ ...createSingleTask(ESTIMATE_MS), name, session, inherited: false });
      run.status = 'running';
      run.progressedClockMs = 0;
      runs.set(name, run);
    }
    const health = createWorkerHealth({ now: () => now });
    stopStalledRuns(session, {
      clockMs: 700,
      health,
      stop: () => undefined,
      isGangRunning: () => true,
    });
    expect(health.statusOf('w1')).to.equal('avoided');
    now = MAX_IDLE_MS;
    expect(health.statusOf('w1')).to.equal('trial');
  });
});
