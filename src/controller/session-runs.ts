/**
 * The runs that are charged to one incarnation of a worker, until it is certain that they have ended.
 */
import type { RunEnd, WorkerIncarnation } from '../jobs/index.js';
import { addResources, NO_RESOURCES, subtractResources } from '../model/index.js';
import type { Resources } from '../model/index.js';
import type { EventLog, Meters } from '../observability/index.js';
import type { Run } from './run.js';

export interface SessionRuns {
  readonly byTask: Map<string, Run>;
  readonly used: Resources;
  readonly attach: (run: Run) => void;
  /** Removes a run without an end, because another session takes it over. */
  detach(run: Run): void;
  /** Removes a run whose end is certain and reports the end; resolves to whether the end is durable. */
  readonly end: (run: Run, end: RunEnd, checkpoint: string, reason?: string) => Promise<boolean>;
}

export interface SessionRunsOptions {
  readonly worker: WorkerIncarnation;
  readonly epoch: number;
  readonly onEnd: (run: Run, end: RunEnd, checkpoint: string) => Promise<boolean>;
  /** Learns from a run that is done; returns the work that it showed in milliseconds, undefined if it showed none. */
  readonly learnEnd?: ((run: Run) => number | undefined) | undefined;
  /** What the session knows of its worker, for the log. */
  readonly describeWorker: () => Readonly<Record<string, unknown>>;
  readonly events: EventLog;
  readonly meters: Meters;
}

export function createSessionRuns(options: SessionRunsOptions): SessionRuns {
  const { worker, epoch, events, meters } = options;
  const byTask = new Map<string, Run>();
  let used: Resources = NO_RESOURCES;

  function detach(run: Run) {
    byTask.delete(run.name);
    used = byTask.size === 0 ? NO_RESOURCES : subtractResources(used, run.size);
  }

  function end(run: Run, how: RunEnd, checkpoint: string, reason?: string): Promise<boolean> {
    if (byTask.get(run.name) !== run) return Promise.resolve(true);
    detach(run);
    meters.taskEnds.inc({ how });
    const workMs = how === 'done' ? options.learnEnd?.(run) : undefined;
    events.info('run-ended', {
      job: run.progress.job.id,
      task: run.name,
      run: run.number,
      worker: worker.id,
      born: worker.born,
      end: how,
      reason,
      epoch,
      orderedMs: run.orderedMs,
      fleetAgeMs: run.fleetAgeMs,
      answeredMs: run.answeredMs === undefined ? undefined : Math.round(run.answeredMs),
      tookMs: Math.round(performance.now() - run.startedAt),
      percent: run.percent,
      listed: run.listed,
      ...options.describeWorker(),
      workMs: workMs === undefined ? undefined : Math.round(workMs),
    });
    return options.onEnd(run, how, checkpoint);
  }

  return {
    byTask,
    get used() {
      return used;
    },
    attach: (run) => {
      byTask.set(run.name, run);
      used = addResources(used, run.size);
    },
    detach,
    end,
  };
}
