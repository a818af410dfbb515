/**
 * Totals of running tasks and used resources per team on the workers of this host, updated
 * incrementally from the ledgers.
 */
import { addResources, NO_RESOURCES, subtractResources, type Resources } from '../model/index.js';
import type { TeamCharge } from '../workers/index.js';

export interface Usage {
  add(team: string, change: Resources, tasks: number): void;
  addAll(teams: ReadonlyMap<string, TeamCharge>): void;
  subtractAll(teams: ReadonlyMap<string, TeamCharge>): void;
  of(team: string): TeamCharge;
  teams(): IterableIterator<string>;
}

const NO_CHARGE: TeamCharge = { running: 0, used: NO_RESOURCES };

export function createUsage(): Usage {
  const totals = new Map<string, TeamCharge>();

  function add(team: string, change: Resources, tasks: number) {
    const { running, used } = totals.get(team) ?? NO_CHARGE;
    // Resets the totals of an idle team to zero, so that rounding errors do not accumulate.
    if (running + tasks === 0) totals.delete(team);
    else totals.set(team, { running: running + tasks, used: addResources(used, change) });
  }

  return {
    add,
    addAll: (teams) => {
      for (const [team, { running, used }] of teams) add(team, used, running);
    },
    subtractAll: (teams) => {
      for (const [team, { running, used }] of teams) {
        add(team, subtractResources(NO_RESOURCES, used), -running);
      }
    },
    of: (team) => totals.get(team) ?? NO_CHARGE,
    teams: () => totals.keys(),
  };
}
