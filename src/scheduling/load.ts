/**
 * Builds the load summary that a host sends with its heartbeats.
 */
import type { LoadSummary, TeamLoad } from '../hosts/index.js';
import { addResources, maxResources, NO_RESOURCES } from '../model/index.js';
import type { Pool } from './pool.js';
import type { Queues } from './queue.js';
import type { Usage } from './usage.js';

export interface LoadSource {
  readonly now: () => number;
  readonly spare: (team: string) => number;
  readonly teamNames?: () => Iterable<string>;
  readonly pool: Pool;
  readonly queues: Queues;
  readonly usage: Usage;
}

export function summarizeLoad(source: LoadSource): LoadSummary {
  const { pool, queues } = source;
  let freeSlots = 0;
  let free = NO_RESOURCES;
  let largestFree = NO_RESOURCES;
  let largestProcessors = -1;
  for (const slot of pool.slots()) {
    if (slot.freeSlots === 0) continue;
    freeSlots += slot.freeSlots;
    // Observed use may exceed a worker's capacity; a negative amount must not reduce the total.
    const available = maxResources(slot.free, NO_RESOURCES);
    free = addResources(free, available);
    if (available.processors <= largestProcessors) continue;
    largestProcessors = available.processors;
    largestFree = available;
  }
  return {
    freeSlots,
    free,
    largestFree,
    capacity: pool.capacity(),
    queued: {
      interactive: queues.queued('interactive'),
      batch: queues.queued('batch'),
      gang: queues.queued('gang'),
      service: queues.queued('service'),
    },
    waitMs: oldestWait(source),
    teams: teamLoads(source),
  };
}

function oldestWait({ now, queues }: LoadSource): number {
  let oldest = now();
  for (const queue of queues.active('interactive')) oldest = Math.min(oldest, queue.oldest);
  return now() - oldest;
}

function teamLoads({ usage, spare, teamNames }: LoadSource): Readonly<Record<string, TeamLoad>> {
  const loads: Record<string, TeamLoad> = {};
  for (const team of new Set([...usage.teams(), ...(teamNames?.() ?? [])])) {
    const { running, used } = usage.of(team);
    const spareTasks = spare(team);
    if (running > 0 || spareTasks > 0) loads[team] = { running, used, spare: spareTasks };
  }
  return loads;
}
