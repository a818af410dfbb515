/**
 * Creates the scheduler of an entry host and connects it to teams, allotments, workers and the usage that
 * other hosts report.
 */
import { NO_RESOURCES, addResources, type Resources } from '../model/index.js';
import { choosePolicy, createScheduler, type Scheduler } from '../scheduling/index.js';
import type { Allotments } from '../teams/index.js';
import type { HealthTracker } from '../workers/index.js';
import type { HostContext } from './host-context.js';
import type { HeldWorkers } from './held-workers.js';

const DEFAULT_MAX_QUEUED = 1000;

interface SchedulerDependencies {
  readonly health: HealthTracker;
  readonly allotments: Allotments;
  readonly heldWorkers: () => HeldWorkers;
}

export function createHostScheduler(
  { membership, configuration, owner, now, settings, host }: HostContext,
  { health, allotments, heldWorkers }: SchedulerDependencies,
): Scheduler {
  const otherHeartbeats = () =>
    membership
      .live()
      .filter((id) => id !== host.id)
      .map((id) => membership.heartbeat(id))
      .filter((heartbeat) => heartbeat !== undefined);
  const scheduler: Scheduler = createScheduler({
    now,
    random: Math.random,
    health: {
      ...health,
      state: (worker) => (heldWorkers().isUsable(worker) ? health.state(worker) : 'out'),
    },
    owner,
    epoch: (worker) => heldWorkers().get(worker)?.epoch ?? 0,
    team: (name) => configuration.current()?.teams.get(name),
    teamNames: () => configuration.current()?.teams.keys() ?? [],
    remoteUsage: (team) =>
      sumOf(otherHeartbeats().map(({ load }) => load.teams[team]?.used ?? NO_RESOURCES)),
    cell: () =>
      addResources(
        sumOf(otherHeartbeats().map(({ load }) => load.capacity)),
        sumOf(
          heldWorkers()
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
    // Without capacity, peers forward nothing to a host whose workers are all leaving or unreachable.
    load: () => {
      const load = scheduler.load();
      return heldWorkers().hasUsable() ? load : { ...load, capacity: NO_RESOURCES };
    },
  };
}

function sumOf(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}
