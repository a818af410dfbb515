/**
 * Waits before a planned stop of the leader until runs of ended jobs are gone whose teams have a limit. A successor
 * restores unfinished jobs only, so it would not count these runs against the limits.
 */
import { isFinal } from '../jobs/index.js';
import { isUnlimited } from '../model/index.js';
import type { TeamConfiguration } from '../queues/index.js';
import { pause } from '../records/index.js';
import type { FleetSessions } from './fleet-sessions.js';

/** Longest wait. A worker takes up to 0.9 s to stop a run. */
const MAX_WAIT_MS = 1300;
const POLL_MS = 20;

export interface StoppingRunsOptions {
  readonly sessions: FleetSessions;
  readonly teams: () => readonly TeamConfiguration[];
  /** Whether the term has ended, so that there is nothing left to wait for. */
  readonly isClosed: () => boolean;
}

export async function awaitStoppingRuns(options: StoppingRunsOptions): Promise<void> {
  const giveUpAt = performance.now() + MAX_WAIT_MS;
  while (!options.isClosed() && performance.now() < giveUpAt && hasLimitedRuns(options)) {
    await pause(POLL_MS);
  }
}

/** Whether any run belongs to an ended job of a team with a limit. */
function hasLimitedRuns({ sessions, teams }: StoppingRunsOptions): boolean {
  const limited = new Set(
    teams()
      .filter(({ limit }) => !isUnlimited(limit))
      .map(({ name }) => name),
  );
  return [...sessions.all()].some(({ runs }) =>
    [...runs.values()].some(({ team, progress }) => limited.has(team) && isFinal(progress.state)),
  );
}
