/**
 * Keeps the record of silent workers up to date with the sessions of the leader.
 */
import type { SilentWorker, SilentWorkers } from './silent-workers.js';
import type { WorkerSession } from './worker-session-types.js';

export interface SilentWorkerReports {
  close(): void;
}

export interface SilentWorkerReportsOptions {
  readonly record: Pick<SilentWorkers, 'publish'>;
  readonly sessions: () => Iterable<Pick<WorkerSession, 'incarnation' | 'silentLeaseLeftMs'>>;
  /** Whether all jobs have been restored and the term has not ended. */
  readonly active: () => boolean;
}

/** A worker that answers again is given no work before the record is written. */
const INTERVAL_MS = 200;

export function createSilentWorkerReports(
  options: SilentWorkerReportsOptions,
): SilentWorkerReports {
  function listSilentWorkers(): SilentWorker[] {
    return [...options.sessions()].flatMap(({ incarnation, silentLeaseLeftMs }) =>
      silentLeaseLeftMs === undefined ? [] : [{ incarnation, leaseLeftMs: silentLeaseLeftMs }],
    );
  }

  const timer = setInterval(() => {
    if (options.active()) void options.record.publish(listSilentWorkers());
  }, INTERVAL_MS);
  timer.unref();
  return {
    close: () => {
      clearInterval(timer);
    },
  };
}
