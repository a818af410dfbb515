/**
 * Stops runs that would not end before their worker leaves, so that they start elsewhere at once. A run that is still there
 * when its worker leaves counts until its lease has certainly expired.
 *
 * When a run ends is only an estimate, so it is compared with the time that is left again and again until the worker has
 * left.
 */
import type { Run } from './run.js';
import type { WorkerSession } from './worker-session-types.js';

export interface LeavingWorkers {
  /** Applies a new entry of the session's worker, which says that it is leaving. */
  readonly update: (session: WorkerSession) => void;
  close(): void;
}

export interface LeavingWorkersOptions {
  readonly stop: (run: Run, reason: string) => void;
  /** Milliseconds until the run is expected to end. */
  readonly expectRestMs: (run: Run) => number;
  /** Monotonic milliseconds. */
  readonly now?: () => number;
}

const CHECK_INTERVAL_MS = 200;

export function createLeavingWorkers(options: LeavingWorkersOptions): LeavingWorkers {
  const { stop, expectRestMs, now = () => performance.now() } = options;
  /** Monotonic time until which each worker stays at least. */
  const staysUntil = new Map<WorkerSession, number>();

  function stopUnfinishableRuns(session: WorkerSession, leavesInMs: number) {
    for (const run of session.runs.values()) {
      // Its progress is not known before the worker has reported it to this leader.
      if (run.inherited && !run.listed) continue;
      if (!run.step.step.longRunning && expectRestMs(run) < leavesInMs) continue;
      stop(run, `the worker leaves in ${String(leavesInMs)} ms`);
    }
  }

  function check(session: WorkerSession, until: number) {
    const leavesInMs = Math.max(0, Math.round(until - now()));
    if (leavesInMs === 0) staysUntil.delete(session);
    stopUnfinishableRuns(session, leavesInMs);
  }

  function checkAll() {
    for (const [session, until] of staysUntil) {
      if (session.ended || session.worker.state !== 'leaving') staysUntil.delete(session);
      else check(session, until);
    }
  }

  const timer = setInterval(checkAll, CHECK_INTERVAL_MS);
  timer.unref();

  return {
    update: (session) => {
      const { leavesInMs = 0 } = session.worker;
      // An entry that is read late overstates the time that is left.
      const until = Math.min(staysUntil.get(session) ?? Infinity, now() + leavesInMs);
      staysUntil.set(session, until);
      check(session, until);
    },
    close: () => {
      clearInterval(timer);
    },
  };
}
