/**
 * What this host does for operators: changes of the configuration, and tables collected from every
 * linked host.
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

export function createOperatorBackend(parts: HostComponents): OperatorBackend {
  const { configuration, membership, links, timeline, host } = parts;

  function apply(change: ConfigurationChange): ResultAsync<AppliedChange, ChangeError> {
    return configuration.apply(change).map(async ({ revision }) => {
      parts.logFor('configuration').info('A change was applied.', {
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

  async function collect<Row>(table: OperatorTable): Promise<Table<Row>> {
    return gather<Row>(collectRows(parts, table) as readonly Row[], (peer) =>
      links
        .request(peer, 'operator', { table }, { timeoutMs: COLLECT_TIMEOUT_MS })
        .map((rows) => rows as readonly Row[]),
    );
  }

  /** Adds the rows of every known host; hosts that did not answer are named. */
  async function gather<Row>(
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
    const collected = await gather([timeline.query(query)], (peer) =>
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
    queue: () => collect<QueueRow>('queue'),
    workers: () => collect<WorkerRow>('workers'),
    hosts: () => collect<HostRow>('hosts'),
    teams: () => Promise.resolve(describeTeams(parts)),
    timeline: queryTimeline,
  };
}

/** Use and entitlement of every team, from the heartbeats of all live hosts. */
function describeTeams(parts: HostComponents): Table<TeamRow> {
  const { membership, configuration, host } = parts;
  const live = membership.live().filter((id) => id !== host.id);
  const beats = live.map((id) => membership.heartbeat(id)).filter((beat) => beat !== undefined);
  const all = [parts.describeHeartbeat(), ...beats];
  const capacity = sum(all.map(({ load }) => load.capacity));
  const teams = [...(configuration.current()?.teams.values() ?? [])];
  const weights = teams.reduce((total, team) => total + team.share, 0);
  const rows = teams.map(({ name, share, limit }) => ({
    team: name,
    share,
    fairShare: weights > 0 ? share / weights : 0,
    usedShare: dominantShare(sum(all.map((beat) => usedBy(beat, name))), capacity),
    running: total(all, (beat) => beat.load.teams[name]?.running ?? 0),
    limit,
    queued: queuedOf(parts, name),
  }));
  const known = new Set(all.map((beat) => beat.host));
  const unreachable = membership.hosts().flatMap(({ id }) => (known.has(id) ? [] : [id]));
  return { rows, unreachable };
}

function usedBy(beat: Heartbeat, team: string): Resources {
  return beat.load.teams[team]?.used ?? NO_RESOURCES;
}

function queuedOf({ scheduler }: HostComponents, team: string): number {
  const rows = scheduler.queued().filter((row) => row.team === team);
  return rows.reduce((count, row) => count + row.queued, 0);
}

function sum(amounts: readonly Resources[]): Resources {
  return amounts.reduce(addResources, NO_RESOURCES);
}

function total(beats: readonly Heartbeat[], count: (beat: Heartbeat) => number): number {
  return beats.reduce((subtotal, beat) => subtotal + count(beat), 0);
}
