/**
 * Creates the scheduler of an entry host: its view of teams, allotments, workers and the use on
 * other hosts.
 */
import { NO_RESOURCES, addResources, type Resources } from '../model/index.js';
import { choosePolicy, createScheduler, type Scheduler } from '../scheduling/index.js';
import type { Allotments } from '../teams/index.js';
import type { HealthTracker } from '../workers/index.js';
import type { HostContext } from './host-context.js';
import type { HeldWorkers } from './held-workers.js';

const DEFAULT_MAX_QUEUED = 1000;

interface SchedulerParts {
  readonly health: HealthTracker;
  readonly allotments: Allotments;
  readonly holdings: () => HeldWorkers;
}

export function createHostScheduler(
  { membership, configuration, owner, now, settings, host }: HostContext,
  { health, allotments, holdings }: SchedulerParts,
): Scheduler {
  const others = () =>
    membership
      .live()
      .filter((id) => id !== host.id)
      .map((id) => membership.heartbeat(id))
      .filter((beat) => beat !== undefined);
  const scheduler: Scheduler = createScheduler({
    now,
    random: Math.random,
    health: {
      ...health,
      state: (worker) => (holdings().isUsable(worker) ? health.state(worker) : 'out'),
    },
    owner,
    epoch: (worker) => holdings().get(worker)?.epoch ?? 0,
    team: (name) => configuration.current()?.teams.get(name),
    teamNames: () => configuration.current()?.teams.keys() ?? [],
    remoteUsage: (team) =>
      sumOf(others().map(({ load }) => load.teams[team]?.used ?? NO_RESOURCES)),
    cell: () =>
      addResources(
        sumOf(others().map(({ load }) => load.capacity)),
        sumOf(
          holdings()
            .all()
            .map(({ worker }) => worker.capacity),
        ),
      ),
    workers: () => membership.workers(host.dataCentre),
    acquire: (team) => allotments.acquire(team),
    release: (team, chargedTo) => {
      allotments.release(team, chargedTo);
    },
    spare: (team) => allotments.spare(team),
    maxQueued: (entry) =>
      configuration.current()?.entries.get(entry)?.maxQueued ?? DEFAULT_MAX_QUEUED,
    urgentShare: settings.scheduling.urgentShare,
    agingMs: settings.scheduling.maxWaitBoostMs,
    ...choosePolicy(settings.scheduling.weights),
  });
  return {
    ...scheduler,
    // Peers queue nothing at a host whose workers all leave or are unreachable.
    load: () => {
      const load = scheduler.load();
      return holdings().hasUsable() ? load : { ...load, capacity: NO_RESOURCES };
    },
  };
}

function sumOf(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}
