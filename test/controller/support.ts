/** Builds a job with one task, whose first run can be created at once. */
import type { JobProgress, StepProgress, TaskProgress } from '../../src/jobs/index.js';
import { createProgress } from '../../src/jobs/index.js';
import { STEP } from '../jobs/support.js';

export interface SingleTask {
  readonly progress: JobProgress;
  readonly step: StepProgress;
  readonly task: TaskProgress;
}

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
  const task = step?.tasks[0];
  if (step === undefined || task === undefined) throw new Error('the job has no task');
  task.run = 1;
  return { progress, step, task };
}
