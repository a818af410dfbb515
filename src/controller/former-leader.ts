/**
 * What a leader that is cut off from the store still does after another host was elected: it reads the ends of its runs
 * from the workers and reports them to the successor, which may be unable to reach these workers.
 *
 * Only the successor's record makes an end durable. Callers of this host are told of the end when the successor announces
 * that, not when this host has read it.
 */
import type { ReportedEnd, RunEnd } from '../jobs/index.js';
import type { EventLog } from '../observability/index.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { Run } from './run.js';
import type { WorkerSession } from './worker-session-types.js';

export interface FormerLeader {
  /** Reports the end of a run, unless the successor can conclude it by itself. */
  noteEnd(session: WorkerSession, run: Run, end: RunEnd, checkpoint: string): void;
  close(): void;
}

export interface FormerLeaderOptions {
  readonly sessions: FleetSessions;
  /** Sends an end to the present leader, if it is connected. */
  readonly report: (end: ReportedEnd) => void;
  /** Time after which no lease that this leader has granted can still last. */
  readonly observeMs: number;
  readonly events: EventLog;
}

/** Interval at which ends are reported again: the link to the successor may break, or the successor be replaced. */
const REPORT_INTERVAL_MS = 300;
/** Ends that a successor cannot conclude by itself. */
const REPORTED_ENDS: ReadonlySet<RunEnd> = new Set(['done', 'failed']);

export function createFormerLeader(options: FormerLeaderOptions): FormerLeader {
  const { sessions, events } = options;
  const ends: ReportedEnd[] = [];
  for (const session of sessions.all()) session.observe();
  const timer = setInterval(() => {
    for (const end of ends) options.report(end);
  }, REPORT_INTERVAL_MS);
  const deadline = setTimeout(close, options.observeMs);
  timer.unref();
  deadline.unref();

  function close() {
    clearInterval(timer);
    clearTimeout(deadline);
    sessions.close();
  }

  return {
    noteEnd: ({ incarnation }, { name, number }, end, checkpoint) => {
      if (!REPORTED_ENDS.has(end)) return;
      const reported = { worker: incarnation, task: name, run: number, end, checkpoint };
      events.info('end-reported-to-leader', reported);
      ends.push(reported);
      options.report(reported);
    },
    close,
  };
}
