/**
 * Takes over the runs that a previous leader ordered. They are in doubt until their workers report to this leader.
 */
import type { JobProgress, StepProgress, TaskProgress, WorkerIncarnation } from '../jobs/index.js';
import { formatTaskName, isFinal } from '../jobs/index.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { JobLifecycle } from './job-lifecycle.js';
import { createRun } from './run.js';

export interface InheritOptions {
  readonly progress: JobProgress;
  readonly sessions: FleetSessions;
  readonly lifecycle: JobLifecycle;
}

export function inheritRuns(options: InheritOptions): void {
  const { progress } = options;
  if (isFinal(progress.state)) return;
  for (const { steps } of progress.occurrences.values()) {
    for (const step of steps) {
      for (const task of step.tasks.values()) {
        if (task.phase !== 'placed' || task.worker === undefined) continue;
        inheritRun(options, step, task, task.worker);
      }
    }
  }
}

function inheritRun(
  { progress, sessions, lifecycle }: InheritOptions,
  step: StepProgress,
  task: TaskProgress,
  incarnation: WorkerIncarnation,
) {
  const session = sessions.sessionOf(incarnation);
  const name = formatTaskName({
    job: progress.job.id,
    occurrence: step.occurrence,
    step: step.number,
    index: task.index,
  });
  const run = createRun({ name, progress, step, task, session, inherited: true });
  session.attach(run);
  lifecycle.registerRun(run);
}
