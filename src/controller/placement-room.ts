/**
 * Bounds what one planning round may place, so that tasks that need no resources exhaust neither the leader's memory nor
 * the record of their job.
 */
import { countOpenTasks, listWaitingTasks, MAX_OPEN_TASKS } from '../jobs/index.js';
import type { JobProgress } from '../jobs/index.js';
import type { ReadyStep } from './cell.js';
import type { WorkerSession } from './worker-session-types.js';

/** Runs at the same time. */
const MAX_RUNS = 30_000;

export interface PlacementRoom {
  /** Waiting tasks of the step as far as the leader and the record of the job have room for their runs. */
  listPlaceable(ready: ReadyStep): number[];
  /** Counts a placement against the bounds, which all steps share; returns whether it is within them. */
  take(ready: ReadyStep, index: number): boolean;
}

export function createPlacementRoom(
  sessions: readonly Pick<WorkerSession, 'runs'>[],
): PlacementRoom {
  let runsLeft = MAX_RUNS - sessions.reduce((sum, { runs }) => sum + runs.size, 0);
  /** Tasks of each job that may still be placed for the first time. */
  const firstRuns = new Map<JobProgress, number>();

  function firstRunsLeft(progress: JobProgress): number {
    const known = firstRuns.get(progress);
    if (known !== undefined) return known;
    const left = MAX_OPEN_TASKS - countOpenTasks(progress);
    firstRuns.set(progress, left);
    return left;
  }

  return {
    listPlaceable: ({ entry, step }) => {
      const waiting = listWaitingTasks(step, runsLeft);
      if (step.step.gang) return waiting;
      let left = firstRunsLeft(entry.progress);
      return waiting.filter((index) => {
        if (step.tasks.has(index)) return true;
        left -= 1;
        return left >= 0;
      });
    },
    take: ({ entry, step }, index) => {
      const { progress } = entry;
      const isFirst = !step.tasks.has(index);
      const left = firstRunsLeft(progress);
      // A gang is placed as a whole.
      if (!step.step.gang && (runsLeft <= 0 || (isFirst && left <= 0))) return false;
      runsLeft -= 1;
      if (isFirst) firstRuns.set(progress, left - 1);
      return true;
    },
  };
}
