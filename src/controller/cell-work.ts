/**
 * Describes the amount of work in a cell, for the log of the leader's load.
 */
import type { Cell } from './cell.js';
import type { CellLoad } from './controller-types.js';
import type { Dispatcher, PlanningEffort } from './dispatcher.js';
import type { FleetSessions } from './fleet-sessions.js';
import type { ProgressLog } from './progress-log.js';

export type CellWork = PlanningEffort &
  Pick<CellLoad, 'waitingSteps' | 'runs' | 'workers' | 'pendingWrites' | 'openBytes'>;

export interface CellWorkSources {
  readonly cell: Pick<Cell, 'ready' | 'openBytes'>;
  readonly sessions: Pick<FleetSessions, 'all'>;
  readonly dispatcher: Pick<Dispatcher, 'effort'>;
  readonly log: Pick<ProgressLog, 'pending'>;
}

export function describeCellWork({ cell, sessions, dispatcher, log }: CellWorkSources): CellWork {
  const all = [...sessions.all()];
  return {
    ...dispatcher.effort,
    waitingSteps: cell.ready.size,
    runs: all.reduce((sum, { runs }) => sum + runs.size, 0),
    workers: all.length,
    pendingWrites: log.pending,
    openBytes: cell.openBytes,
  };
}
