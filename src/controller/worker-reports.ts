/**
 * Applies the reports of a worker to the runs that the leader has there, and tracks up to which end the reports may be
 * acknowledged.
 */
import type { EndedTask, RunningTask, WorkerReport } from '../fleet/index.js';
import type { ReportedEnd, RunEnd, WorkerIncarnation } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import { pause } from '../records/index.js';
import type { Run } from './run.js';

/** Time for a run with an unanswered start to appear in a report before it is stopped. */
const UNANSWERED_START_MS = 150;
/**
 * Usual time until the record of an end is durable, including the batch delay. The next renewal waits this long for it,
 * in order to acknowledge it.
 */
const DURABLE_WAIT_MS = 90;
/** A worker returns so many ends in one report and keeps the rest until these are acknowledged. */
const MAX_LISTED_ENDS = 500;

export interface WorkerReports {
  /**
   * Ends up to this sequence number are durable, so that the worker may drop them; 0 once it has dropped them. The next
   * incarnation numbers its ends anew, and a renewal that reaches it must not acknowledge those.
   */
  readonly acknowledgedThrough: number;
  /** Whether any reported end is not durable yet. */
  readonly hasUnacknowledged: boolean;
  /** Number of runs in the last report that this leader does not know and whose resources it cannot charge. */
  readonly foreignRuns: number;
  /** Applies a report that was requested at `requestedAt` in monotonic milliseconds. */
  apply(report: WorkerReport, requestedAt: number): Promise<void>;
  /** Applies an end that a former leader has read from the worker. */
  readonly applyReported: (end: ReportedEnd) => void;
}

export interface WorkerReportsOptions {
  readonly worker: WorkerIncarnation;
  readonly epoch: number;
  /** Runs that the leader has on this worker, by task. */
  readonly runs: ReadonlyMap<string, Run>;
  /** Removes a run whose end is certain; resolves to whether the end is durable. */
  readonly endRun: (run: Run, end: RunEnd, checkpoint: string, reason?: string) => Promise<boolean>;
  readonly stop: (run: Run, reason: string) => void;
  /** Stops a run that this leader did not order. */
  readonly stopForeign: (task: string, run: number) => void;
  /** Called when the progress of runs has been applied. */
  readonly onReport: (clockMs: number) => void;
  readonly onChange: () => void;
  readonly events: EventLog;
}

export function createWorkerReports(options: WorkerReportsOptions): WorkerReports {
  const { runs, endRun, events } = options;
  const { id: worker, born } = options.worker;
  let foreignRuns = 0;
  let processedThrough = 0;
  let acknowledgedThrough = 0;
  /** Whether the last report listed ends, so that there is something to acknowledge. */
  let endsListed = false;
  /** Number of ends that a former leader has reported and that are not durable yet. */
  let reportedEnds = 0;
  /** Resolves to true once all ends reported so far are durable, to false if one never will be. */
  let acknowledgement = Promise.resolve(true);

  async function apply(report: WorkerReport, requestedAt: number): Promise<void> {
    const durable = report.ended
      .filter(({ sequence }) => sequence > processedThrough)
      .map((end) => applyEnd(end, report.clockMs));
    processedThrough = Math.max(processedThrough, ...report.ended.map(({ sequence }) => sequence));
    // A run whose end is among those that the report leaves out is in neither list.
    const isComplete = report.ended.length < MAX_LISTED_ENDS;
    endsListed = report.ended.length > 0;
    const listed = new Map(report.running.map((entry) => [entry.task, entry]));
    for (const run of [...runs.values()]) {
      const entry = listed.get(run.name);
      if (entry?.run === run.number) applyRunning(run, entry, report.clockMs);
      else if (isComplete) applyUnlisted(run, requestedAt);
    }
    const foreign = report.running.filter(({ task, run }) => runs.get(task)?.number !== run);
    for (const { task, run } of foreign) {
      events.warn('foreign-task-stopped', { task, run, worker, born, epoch: options.epoch });
      options.stopForeign(task, run);
    }
    // Foreign runs, such as those of a job that a previous leader cancelled, use resources until they have stopped.
    if (foreignRuns > 0 && foreign.length === 0) options.onChange();
    foreignRuns = foreign.length;
    options.onReport(report.clockMs);
    if (durable.length > 0) acknowledgeWhenDurable(Promise.all(durable), processedThrough);
    // Does not wait longer during an outage of the store, so that renewals continue and report further ends.
    await Promise.race([acknowledgement, pause(DURABLE_WAIT_MS)]);
  }

  /** Acknowledges ends in order; an end that is not durable holds back those after it. */
  function acknowledgeWhenDurable(durable: Promise<readonly boolean[]>, through: number) {
    acknowledgement = Promise.all([acknowledgement, durable]).then(
      ([earlier, current]) => {
        if (!earlier || !current.every(Boolean)) return false;
        acknowledgedThrough = through;
        return true;
      },
      (error: unknown) => {
        // Without this, waiting for the acknowledgement would fail each later report as well.
        events.error('end-not-applied', { worker, born, error: String(error) });
        return false;
      },
    );
  }

  /** The worker lists the end as well, and must not drop it before its record is durable. */
  function applyReported({ task, run: number, end, checkpoint }: ReportedEnd) {
    const run = runs.get(task);
    if (run?.number !== number) return;
    reportedEnds += 1;
    const durable = endRun(run, end, checkpoint, 'a former leader has read the end');
    const earlier = acknowledgement;
    acknowledgement = Promise.all([earlier, durable]).then(
      (outcomes) => {
        reportedEnds -= 1;
        return outcomes.every(Boolean);
      },
      (error: unknown) => {
        events.error('end-not-applied', { worker, born, error: String(error) });
        return false;
      },
    );
  }

  async function applyEnd(end: EndedTask, clockMs: number): Promise<boolean> {
    const run = runs.get(end.task);
    if (run?.number !== end.run) {
      events.info('foreign-end-ignored', {
        task: end.task,
        run: end.run,
        worker,
        born,
        how: end.how,
        expectedRun: run?.number,
      });
      return true;
    }
    run.endedClockMs = clockMs;
    return endRun(run, end.how, end.checkpoint);
  }

  function applyRunning(run: Run, { percent, checkpoint }: RunningTask, clockMs: number) {
    run.listed = true;
    if (run.status === 'in-doubt' || run.status === 'starting') {
      run.status = 'running';
      run.since = performance.now();
    }
    if (checkpoint !== '') run.task.checkpoint = checkpoint;
    run.progressedClockMs ??= clockMs;
    if (percent === run.percent) return;
    run.percent = percent;
    run.progressedClockMs = clockMs;
    run.progressedAt = performance.now();
  }

  /** Handles a run that is missing from a report requested at `requestedAt`. */
  function applyUnlisted(run: Run, requestedAt: number) {
    if (run.status === 'running' && run.since < requestedAt) {
      events.warn('run-vanished', { task: run.name, run: run.number, worker, born });
      void endRun(run, 'lost', run.task.checkpoint, 'the worker no longer lists it');
      return;
    }
    if (!run.listed && requestedAt >= run.fencedAt) {
      // The worker refuses all starts of the run, because it has seen a later token.
      void endRun(run, 'never-ran', '');
      return;
    }
    if (run.status === 'stopping') {
      if (run.stopAnsweredAt !== undefined && run.stopAnsweredAt < requestedAt) {
        void endRun(run, 'never-ran', '');
      }
      return;
    }
    if (run.status !== 'in-doubt' || run.since + UNANSWERED_START_MS > requestedAt) return;
    options.stop(run, 'the start was not answered');
  }

  return {
    get acknowledgedThrough() {
      return endsListed ? acknowledgedThrough : 0;
    },
    get hasUnacknowledged() {
      return reportedEnds > 0 || acknowledgedThrough < processedThrough;
    },
    get foreignRuns() {
      return foreignRuns;
    },
    apply,
    applyReported,
  };
}
