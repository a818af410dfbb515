/**
 * Computes at the leader how long a new job would wait for room, by queue: the work that waits ahead of it in the
 * planner's order, divided by the rate at which room becomes free. Every simplification makes the wait shorter, because
 * a job is refused for a long wait.
 *
 * A job that can be on time precedes late work. Once it is late itself, all work that can be on time precedes it, that
 * which arrives meanwhile included. In a lasting overload late work therefore gets next to nothing, and the wait of a
 * job that becomes late is a different one.
 */
import type { Resources } from '../model/index.js';
import { BEYOND_RANK, slotsIn } from '../planner/index.js';
import type { FlowMeter, WorkClasses } from './flow-meter.js';
import { teamFlow } from './flow-meter.js';
import {
  competesForRoom,
  competesUnderLimit,
  describeRival,
  isLateHeldUp,
  urgencyOf,
} from './rivals.js';
import type { Rival, WaitingWork } from './rivals.js';

/** The workers of a service. */
export interface ServiceRoom {
  /** Free resources of each worker that can be given work. */
  readonly free: readonly Resources[];
  /** Cores of runs that will end. */
  readonly busyCores: number;
}

export interface WaitedQueue {
  readonly name: string;
  readonly service: string;
  readonly priority: number;
  readonly stretch: number;
  readonly targetLatencyMs: number;
}

export interface Backlog {
  readonly nowMs: number;
  readonly work: readonly WaitingWork[];
  readonly rooms: ReadonlyMap<string, ServiceRoom>;
  /** Cores of the runs of each team that will end. */
  readonly teamCores: ReadonlyMap<string, number>;
  readonly queues: readonly WaitedQueue[];
  readonly flow: Pick<FlowMeter, 'ageMs' | 'endedCores' | 'arrivingCores' | 'usualTask'>;
}

/** Expected waits of a new job for its first room, in milliseconds. */
export interface Waits {
  /** As long as the job can be on time. */
  readonly onTimeMs: number;
  /** If it becomes late; equal to `onTimeMs` unless late work of the class is held up. */
  readonly lateMs: number;
}

export interface QueueWaits {
  readonly within: Waits;
  /** Of a job beyond its team's share. */
  readonly beyond: Waits;
}

/** A leader in a shorter term knows neither rates nor durations and reports no waits. */
const MIN_MEASURED_MS = 3000;
/** The present rate of arrivals is taken to go on for this long. Bursts last for tens of seconds, but their end is unknown. */
const ARRIVALS_GO_ON_MS = 5000;
/** Wait that stands for all longer ones. */
export const MAX_WAIT_MS = 60_000;

export interface ExpectedWaits {
  /** By queue, for the queues of services that have work waiting. */
  readonly queues: ReadonlyMap<string, QueueWaits>;
  /** Of teams at their upper limits, for each queue in which work waits for that. */
  readonly limited: readonly LimitedWaits[];
}

export interface LimitedWaits {
  readonly team: string;
  readonly queue: string;
  readonly waits: QueueWaits;
}

export function expectedWaits(backlog: Backlog): ExpectedWaits {
  if (backlog.flow.ageMs < MIN_MEASURED_MS) return { queues: new Map(), limited: [] };
  return { queues: waitsForRoom(backlog), limited: waitsUnderLimits(backlog) };
}

function waitsForRoom(backlog: Backlog): Map<string, QueueWaits> {
  const rivals = groupRivals(backlog, competesForRoom, ({ step }) => step.service);
  const waits = new Map<string, QueueWaits>();
  for (const queue of backlog.queues) {
    const others = rivals.get(queue.service);
    const room = backlog.rooms.get(queue.service);
    if (others === undefined || room === undefined) continue;
    const busy = { flow: queue.service, cores: room.busyCores, free: room.free };
    waits.set(queue.name, waitsOf(queue, others, busy, backlog));
  }
  return waits;
}

/** A team at its limit gets room for a job only as its own runs end. */
function waitsUnderLimits(backlog: Backlog): LimitedWaits[] {
  const rivals = groupRivals(backlog, competesUnderLimit, ({ step }) => step.team);
  const used = new Map<string, Set<string>>();
  for (const { step, queue, barrier } of backlog.work) {
    if (barrier !== 'limit') continue;
    used.set(step.team, (used.get(step.team) ?? new Set()).add(queue));
  }
  return [...rivals].flatMap(([team, others]) => {
    const cores = backlog.teamCores.get(team) ?? 0;
    const busy = { flow: teamFlow(team), cores, free: [] };
    return backlog.queues
      .filter(({ name }) => used.get(team)?.has(name) === true)
      .map((queue) => ({ team, queue: queue.name, waits: waitsOf(queue, others, busy, backlog) }));
  });
}

function groupRivals(
  backlog: Backlog,
  counts: (work: WaitingWork) => boolean,
  groupOf: (work: WaitingWork) => string,
): Map<string, Rival[]> {
  const groups = new Map<string, Rival[]>();
  for (const work of backlog.work) {
    if (!counts(work)) continue;
    const rival = describeRival(work, backlog);
    const group = groups.get(groupOf(work));
    if (group === undefined) groups.set(groupOf(work), [rival]);
    else group.push(rival);
  }
  return groups;
}

/** What is in use: by all work on the workers of a service, or by a team. */
interface Usage {
  /** Name under which its flow is measured. */
  readonly flow: string;
  readonly cores: number;
  readonly free: readonly Resources[];
}

function waitsOf(
  queue: WaitedQueue,
  others: readonly Rival[],
  usage: Usage,
  { flow }: Backlog,
): QueueWaits {
  const usual = flow.usualTask(queue.name);
  const urgency = urgencyOf(queue);
  // Free room is of no use to work that the leader has no time to start, which goes on at the rate of its starts.
  const isLeaderBound = urgency !== 0 && others.some(({ waitsForLeader }) => waitsForLeader);
  const job = {
    urgency,
    // The estimates of the queue's jobs are not known here; real durations give nearly the same slack.
    slack: (queue.stretch - 1) * (usual?.workMs ?? 0) + queue.targetLatencyMs,
    rivals: others.filter(
      ({ accelerators }) => accelerators === 0 || (usual?.accelerators ?? 0) > 0,
    ),
    freeCores: isLeaderBound ? 0 : freeCoresFor(usual, usage.free),
    rateCores: isLeaderBound
      ? flow.endedCores(usage.flow)
      : Math.max(flow.endedCores(usage.flow), usage.cores),
  };
  const arriving = (classes: WorkClasses) => flow.arrivingCores(usage.flow, classes);
  return {
    within: waitsFrom(0, job, {
      onTimeCores: urgency === 0 ? 0 : arriving('urgent'),
      lateCores: arriving('all'),
    }),
    beyond: waitsFrom(BEYOND_RANK, job, {
      onTimeCores: arriving('all'),
      lateCores: arriving('all') + arriving('beyond'),
    }),
  };
}

/** A new job of a queue, what waits and the room that it waits for. */
interface NewJob extends Room {
  readonly urgency: number;
  readonly slack: number;
  readonly rivals: readonly Rival[];
}

interface Room {
  readonly freeCores: number;
  readonly rateCores: number;
}

/** Waits of a job whose rank is `best` while it can be on time, with the arriving work that precedes it then and later. */
function waitsFrom(
  best: number,
  job: NewJob,
  arriving: { readonly onTimeCores: number; readonly lateCores: number },
): Waits {
  const { rivals, urgency, slack } = job;
  const heldUp = isLateHeldUp(rivals, urgency, best);
  const precedes = (rival: Rival) =>
    rival.urgency < urgency || (rival.urgency === urgency && rival.slack <= slack);
  const ahead = rivals.filter(
    (rival) => rival.rank < best || (rival.rank === best && precedes(rival)),
  );
  const onTimeMs = waitBehind(ahead, job, heldUp ? arriving.onTimeCores : 0);
  if (!heldUp) return { onTimeMs, lateMs: onTimeMs };
  const aheadIfLate = rivals.filter(
    (rival) => rival.rank <= best || (rival.rank === best + 1 && rival.urgency <= urgency),
  );
  const lateMs = waitBehind(aheadIfLate, job, arriving.lateCores);
  return { onTimeMs, lateMs: Math.max(onTimeMs, lateMs) };
}

/** Free cores on which tasks of the usual size fit. */
function freeCoresFor(
  usual: { readonly processors: number; readonly accelerators: number } | undefined,
  free: readonly Resources[],
): number {
  const processors = Math.max(1, usual?.processors ?? 1);
  const size = { processors, memoryMb: 0, accelerators: usual?.accelerators ?? 0 };
  return free.reduce((sum, worker) => sum + slotsIn(worker, size) * processors, 0);
}

function waitBehind(
  ahead: readonly Rival[],
  { freeCores, rateCores }: Room,
  arrivingCores: number,
): number {
  const cores = ahead.reduce((sum, rival) => sum + rival.cores, 0);
  if (cores <= freeCores || rateCores <= 0) return 0;
  const coreMs = ahead.reduce((sum, rival) => sum + rival.coreMs, 0);
  const left = coreMs * (1 - freeCores / cores);
  const spareCores = rateCores - arrivingCores;
  const soonMs = spareCores > 0 ? left / spareCores : Infinity;
  const waitMs =
    soonMs <= ARRIVALS_GO_ON_MS ? soonMs : (left + ARRIVALS_GO_ON_MS * arrivingCores) / rateCores;
  return Math.min(MAX_WAIT_MS, waitMs);
}
