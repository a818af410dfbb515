/**
 * The load summary that a host sends with its heartbeats.
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
  let largestRoom = -1;
  for (const slot of pool.slots()) {
    if (slot.freeSlots === 0) continue;
    freeSlots += slot.freeSlots;
    // Observed use may exceed the capacity; that takes nothing away from other workers.
    const room = maxResources(slot.free, NO_RESOURCES);
    free = addResources(free, room);
    if (room.processors <= largestRoom) continue;
    largestRoom = room.processors;
    largestFree = room;
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
    const left = spare(team);
    if (running > 0 || left > 0) loads[team] = { running, used, spare: left };
  }
  return loads;
}
