/**
 * What a worker's reports say of the runs that the leader ordered there, and up to which end they are
 * acknowledged.
 */
import type { EndedTask, WorkerReport } from '../fleet/index.js';
import type { EventLog } from '../observability/index.js';
import { pause } from '../records/index.js';
import type { Run, RunEnd } from './run.js';

/** How long an unanswered start may take to show up in a report before it is stopped. */
const DOUBT_MS = 150;
/**
 * Usual time for the record of an end to become durable, with the wait for other records; the next renewal then
 * acknowledges it.
 */
const DURABLE_WAIT_MS = 90;

export interface WorkerReports {
  /** Ends up to this number are durable and may be forgotten by the worker. */
  readonly acknowledgedThrough: number;
  /** Ends that are known but not durable yet. */
  readonly hasUnacknowledged: boolean;
  /** Runs that the last report lists and that this leader does not know; their room is not known either. */
  readonly foreignRuns: number;
  /** Applies a report that was requested at `requestedAt`, in monotonic milliseconds. */
  apply(report: WorkerReport, requestedAt: number): Promise<void>;
}

export interface WorkerReportsOptions {
  readonly worker: string;
  readonly epoch: number;
  /** Runs that the leader has at this worker, by task. */
  readonly runs: ReadonlyMap<string, Run>;
  /** Removes a run whose end is certain; resolves to whether that is durable. */
  readonly endRun: (run: Run, end: RunEnd, checkpoint: string) => Promise<boolean>;
  readonly stop: (run: Run, reason: string) => void;
  /** Stops a run that this leader did not order. */
  readonly stopForeign: (task: string, run: number) => void;
  /** Progress of runs was applied. */
  readonly onReport: () => void;
  readonly onChange: () => void;
  readonly events: EventLog;
}

export function createWorkerReports(options: WorkerReportsOptions): WorkerReports {
  const { worker, runs, endRun, events } = options;
  let foreignRuns = 0;
  let processedThrough = 0;
  let acknowledgedThrough = 0;
  /** Resolves once all ends that were reported so far are durable; to false if one never will be. */
  let acknowledgement = Promise.resolve(true);

  async function apply(report: WorkerReport, requestedAt: number): Promise<void> {
    const durable = report.ended
      .filter(({ sequence }) => sequence > processedThrough)
      .map((end) => applyEnd(end));
    processedThrough = Math.max(processedThrough, ...report.ended.map(({ sequence }) => sequence));
    const listed = new Map(report.running.map((entry) => [entry.task, entry]));
    for (const run of [...runs.values()]) {
      const entry = listed.get(run.name);
      if (entry?.run === run.number) applyRunning(run, entry.percent, entry.checkpoint);
      else applyAbsence(run, requestedAt);
    }
    const foreign = report.running.filter(({ task, run }) => runs.get(task)?.number !== run);
    for (const { task, run } of foreign) {
      events.warn('foreign-task-stopped', { task, run, worker, epoch: options.epoch });
      options.stopForeign(task, run);
    }
    // The runs of a job that a former leader cancelled take their room until they have stopped.
    if (foreignRuns > 0 && foreign.length === 0) options.onChange();
    foreignRuns = foreign.length;
    options.onReport();
    if (durable.length > 0) acknowledgeOnce(Promise.all(durable), processedThrough);
    // The renewals go on while the store is away, so that further ends are seen.
    await Promise.race([acknowledgement, pause(DURABLE_WAIT_MS)]);
  }

  /** Acknowledges ends in their order: one that is not durable holds back those after it. */
  function acknowledgeOnce(durable: Promise<readonly boolean[]>, through: number) {
    acknowledgement = Promise.all([acknowledgement, durable]).then(([earlier, these]) => {
      if (!earlier || !these.every(Boolean)) return false;
      acknowledgedThrough = through;
      return true;
    });
  }

  async function applyEnd(end: EndedTask): Promise<boolean> {
    const run = runs.get(end.task);
    if (run?.number !== end.run) {
      events.info('foreign-end-ignored', {
        task: end.task,
        run: end.run,
        worker,
        how: end.how,
        expectedRun: run?.number,
      });
      return true;
    }
    return endRun(run, end.how, end.checkpoint);
  }

  function applyRunning(run: Run, percent: number, checkpoint: string) {
    if (run.status === 'in-doubt' || run.status === 'starting') {
      run.status = 'running';
      run.since = performance.now();
    }
    if (checkpoint !== '') run.task.checkpoint = checkpoint;
    if (percent === run.percent) return;
    run.percent = percent;
    run.progressedAt = performance.now();
  }

  /** Decides about a run that a report, requested at `requestedAt`, does not list. */
  function applyAbsence(run: Run, requestedAt: number) {
    if (run.status === 'running' && run.since < requestedAt) {
      events.warn('run-vanished', { task: run.name, run: run.number, worker });
      void endRun(run, 'lost', run.task.checkpoint);
      return;
    }
    if (run.status === 'stopping') {
      if (run.stopAnsweredAt !== undefined && run.stopAnsweredAt < requestedAt) {
        void endRun(run, 'never-ran', '');
      }
      return;
    }
    if (run.status !== 'in-doubt' || run.since + DOUBT_MS > requestedAt) return;
    if (run.inherited) {
      // Ordered by a former leader, whose orders the worker refuses from now on.
      void endRun(run, 'never-ran', '');
      return;
    }
    options.stop(run, 'the start was not answered');
  }

  return {
    get acknowledgedThrough() {
      return acknowledgedThrough;
    },
    get hasUnacknowledged() {
      return acknowledgedThrough < processedThrough;
    },
    get foreignRuns() {
      return foreignRuns;
    },
    apply,
  };
}
