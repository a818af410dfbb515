/**
 * Implements the backend of the operators' interface: changes of the configuration, and tables that are
 * collected from all known hosts.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import type { Heartbeat } from '../hosts/index.js';
import { NO_RESOURCES, addResources, dominantShare, type Resources } from '../model/index.js';
import type {
  AppliedChange,
  ChangeError,
  ConfigurationChange,
  HostRow,
  OperatorBackend,
  QueueRow,
  RolloutRow,
  Table,
  TeamRow,
  TimelineQuery,
  TimelineRow,
  WorkerRow,
} from '../operators/index.js';
import { mergeTimelines } from '../timeline/index.js';
import type { OperatorTable } from './messages.js';
import { collectRows } from './operator-rows.js';
import type { HostComponents } from './host-components.js';

const ROLLOUT_WAIT_MS = 2000;
const ROLLOUT_POLL_MS = 25;
const COLLECT_TIMEOUT_MS = 3000;

export function createOperatorBackend(components: HostComponents): OperatorBackend {
  const { configuration, membership, links, timeline, host } = components;

  function apply(change: ConfigurationChange): ResultAsync<AppliedChange, ChangeError> {
    return configuration.apply(change).map(async ({ revision }) => {
      components.logFor('configuration').info('A change was applied.', {
        revision,
        operator: change.operator,
      });
      return { revision, hosts: await awaitRollout(revision) };
    });
  }

  /** Waits a bounded time until every linked host reports the revision. */
  async function awaitRollout(revision: number): Promise<readonly RolloutRow[]> {
    const giveUpAt = Date.now() + ROLLOUT_WAIT_MS;
    for (;;) {
      const rows = rollout();
      const behind = rows.some((row) => row.reachable && row.revision < revision);
      if (!behind || Date.now() >= giveUpAt) return rows;
      await delay(ROLLOUT_POLL_MS);
    }
  }

  function rollout(): readonly RolloutRow[] {
    const live = new Set(membership.live());
    const linked = new Set(links.connectedHosts());
    return membership.hosts().map(({ id }) => ({
      host: id,
      revision:
        id === host.id
          ? (configuration.current()?.revision ?? 0)
          : (membership.heartbeat(id)?.revision ?? 0),
      reachable: id === host.id || (live.has(id) && linked.has(id)),
    }));
  }

  async function collectTable<Row>(table: OperatorTable): Promise<Table<Row>> {
    return collectFromHosts<Row>(collectRows(components, table) as readonly Row[], (peer) =>
      links
        .request(peer, 'operator', { table }, { timeoutMs: COLLECT_TIMEOUT_MS })
        .map((rows) => rows as readonly Row[]),
    );
  }

  /** Adds the rows of all other known hosts and lists the hosts that did not answer. */
  async function collectFromHosts<Row>(
    own: readonly Row[],
    ask: (peer: string) => ResultAsync<readonly Row[], unknown>,
  ): Promise<Table<Row>> {
    const peers = membership.hosts().filter(({ id }) => id !== host.id);
    const unreachable: string[] = [];
    const rows = await Promise.all(
      peers.map(async ({ id }) => {
        const answer = await ask(id);
        if (answer.isOk()) return answer.value;
        unreachable.push(id);
        return [];
      }),
    );
    return { rows: [own, ...rows].flat(), unreachable: unreachable.sort() };
  }

  async function queryTimeline(query: TimelineQuery): Promise<Table<TimelineRow>> {
    const collected = await collectFromHosts([timeline.query(query)], (peer) =>
      links
        .request(peer, 'timeline', query, { timeoutMs: COLLECT_TIMEOUT_MS })
        .map((events) => [events]),
    );
    return { rows: mergeTimelines(collected.rows), unreachable: collected.unreachable };
  }

  return {
    apply,
    configuration: () => configuration.current(),
    keysCurrent: () => configuration.keysCurrent(),
    rollout: () => Promise.resolve(rollout()),
    queue: () => collectTable<QueueRow>('queue'),
    workers: () => collectTable<WorkerRow>('workers'),
    hosts: () => collectTable<HostRow>('hosts'),
    teams: () => Promise.resolve(describeTeams(components)),
    timeline: queryTimeline,
  };
}

/** Usage and fair share of every team, from the heartbeats of all live hosts. */
function describeTeams(components: HostComponents): Table<TeamRow> {
  const { membership, configuration, host } = components;
  const live = membership.live().filter((id) => id !== host.id);
  const peerHeartbeats = live
    .map((id) => membership.heartbeat(id))
    .filter((heartbeat) => heartbeat !== undefined);
  const allHeartbeats = [components.describeHeartbeat(), ...peerHeartbeats];
  const capacity = sum(allHeartbeats.map(({ load }) => load.capacity));
  const teams = [...(configuration.current()?.teams.values() ?? [])];
  const totalShare = teams.reduce((total, team) => total + team.share, 0);
  const rows = teams.map(({ name, share, limit }) => ({
    team: name,
    share,
    fairShare: totalShare > 0 ? share / totalShare : 0,
    usedShare: dominantShare(
      sum(allHeartbeats.map((heartbeat) => usageOf(heartbeat, name))),
      capacity,
    ),
    running: total(allHeartbeats, (heartbeat) => heartbeat.load.teams[name]?.running ?? 0),
    limit,
    queued: queuedOf(components, name),
  }));
  const known = new Set(allHeartbeats.map((heartbeat) => heartbeat.host));
  const unreachable = membership.hosts().flatMap(({ id }) => (known.has(id) ? [] : [id]));
  return { rows, unreachable };
}

function usageOf(heartbeat: Heartbeat, team: string): Resources {
  return heartbeat.load.teams[team]?.used ?? NO_RESOURCES;
}

function queuedOf({ scheduler }: HostComponents, team: string): number {
  const rows = scheduler.queued().filter((row) => row.team === team);
  return rows.reduce((count, row) => count + row.queued, 0);
}

function sum(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}

function total(heartbeats: readonly Heartbeat[], count: (heartbeat: Heartbeat) => number): number {
  return heartbeats.reduce((subtotal, heartbeat) => subtotal + count(heartbeat), 0);
}
