/**
 * Running totals per team on the workers of this host, kept incrementally from the ledgers.
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

const NOTHING: TeamCharge = { running: 0, used: NO_RESOURCES };

export function createUsage(): Usage {
  const totals = new Map<string, TeamCharge>();

  function add(team: string, change: Resources, tasks: number) {
    const { running, used } = totals.get(team) ?? NOTHING;
    // An idle team starts from zero again, so that rounding errors do not add up.
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
    of: (team) => totals.get(team) ?? NOTHING,
    teams: () => totals.keys(),
  };
}
