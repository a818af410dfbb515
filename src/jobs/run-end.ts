/**
 * How one run of a task ended, and the report of such an end from one leader to the next.
 */
import type { WorkerIncarnation } from './progress.js';

/** How a run ended. `never-ran`: the worker certainly did not start it. `lost`: its worker ended or lost it. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'never-ran' | 'lost';

/** The end of a run as its worker has listed it to a former leader. */
export interface ReportedEnd {
  readonly worker: WorkerIncarnation;
  readonly task: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}
