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
import type { PlacementBarrier, WaitingStep } from '../planner/index.js';
import { BEYOND_RANK, rankOf, slackMs, slotsIn } from '../planner/index.js';
import type { FlowMeter, WorkClasses } from './flow-meter.js';

/** A step with tasks that wait for a worker. */
export interface WaitingWork {
  readonly step: Pick<
    WaitingStep,
    | 'service'
    | 'priority'
    | 'beyondShare'
    | 'objectiveAtMs'
    | 'uselessAtMs'
    | 'remainingMs'
    | 'size'
    | 'workMs'
    | 'gang'
    | 'requiredLabel'
  >;
  readonly queue: string;
  /** Number of tasks that wait now. */
  readonly waiting: number;
  /** What kept the step from being placed when it was last tried; undefined if it was not tried. */
  readonly barrier: PlacementBarrier | undefined;
}

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

/** A leader that has measured for a shorter time knows neither rates nor durations and reports no waits. */
const MIN_MEASURED_MS = 3000;
/** The measured arrivals are taken to go on for this long. Bursts last for tens of seconds, but their end is unknown. */
const ARRIVALS_GO_ON_MS = 5000;
/** Late work that is held up shows an overload if it is at least this part of the work of its class that can be on time. */
const MIN_LATE_PART = 0.1;
/**
 * Late work counts as held up after this part of the time from its objective until it is of no use. In a cell at its
 * usual load, work that is late for a moment is done well before that.
 */
const HELD_UP_PART = 0.5;
/** Part of an estimate that counts while the real durations of the queue are not known. Many estimates are too long. */
const UNKNOWN_QUEUE_PART = 0.5;
/** Wait that stands for all longer ones. */
export const MAX_WAIT_MS = 60_000;

/** A waiting step with the figures that decide which jobs wait for it. */
interface Rival {
  readonly rank: number;
  readonly urgency: number;
  readonly slack: number;
  /** Part of the time between objective and uselessness that has passed. */
  readonly lateness: number;
  readonly cores: number;
  readonly coreMs: number;
  readonly accelerators: number;
}

const urgencyOf = ({ priority }: { readonly priority: number }) => (priority === 0 ? 0 : 1);

/** Expected waits by queue, for the queues of services that have work waiting. */
export function expectedWaits(backlog: Backlog): Map<string, QueueWaits> {
  if (backlog.flow.ageMs < MIN_MEASURED_MS) return new Map();
  const rivals = new Map<string, Rival[]>();
  for (const work of backlog.work) {
    if (!competes(work)) continue;
    const known = rivals.get(work.step.service);
    const rival = describeRival(work, backlog);
    if (known === undefined) rivals.set(work.step.service, [rival]);
    else known.push(rival);
  }
  const waits = new Map<string, QueueWaits>();
  for (const queue of backlog.queues) {
    const others = rivals.get(queue.service);
    const room = backlog.rooms.get(queue.service);
    if (others === undefined || room === undefined) continue;
    waits.set(queue.name, waitsOf(queue, others, room, backlog));
  }
  return waits;
}

/**
 * Whether other work waits for this. A step that is held up by its team's limit, by missing permits or by the lack of
 * suitable workers takes no room. Nor does a gang that waits for several workers, whose reservation is short, take what
 * becomes free piece by piece, and a label names few of the workers.
 */
function competes({ step, waiting, barrier }: WaitingWork): boolean {
  if (waiting <= 0 || step.gang || step.requiredLabel !== undefined) return false;
  return barrier === undefined || barrier === 'room';
}

function describeRival({ step, queue, waiting }: WaitingWork, backlog: Backlog): Rival {
  const cores = step.size.processors * waiting;
  return {
    rank: rankOf(step, backlog.nowMs),
    urgency: urgencyOf(step),
    slack: slackMs(step, backlog.nowMs),
    lateness: -slackMs(step, backlog.nowMs) / Math.max(1, step.uselessAtMs - step.objectiveAtMs),
    cores,
    coreMs: cores * expectedWorkMs(step.workMs, backlog.flow.usualTask(queue)),
    accelerators: step.size.accelerators,
  };
}

/** The usual work of the queue if a single estimate is longer, since estimates may be wrong by a factor. */
export function expectedWorkMs(
  estimateMs: number,
  usual: { readonly workMs: number } | undefined,
): number {
  if (usual === undefined) return estimateMs * UNKNOWN_QUEUE_PART;
  return Math.min(estimateMs, usual.workMs);
}

function waitsOf(
  queue: WaitedQueue,
  others: readonly Rival[],
  room: ServiceRoom,
  { flow }: Backlog,
): QueueWaits {
  const usual = flow.usualTask(queue.name);
  const urgency = urgencyOf(queue);
  const job = {
    urgency,
    // The estimates of the queue's jobs are not known here; real durations give nearly the same slack.
    slack: (queue.stretch - 1) * (usual?.workMs ?? 0) + queue.targetLatencyMs,
    rivals: others.filter(
      ({ accelerators }) => accelerators === 0 || (usual?.accelerators ?? 0) > 0,
    ),
    freeCores: freeCoresFor(usual, room),
    rateCores: Math.max(flow.endedCores(queue.service), room.busyCores),
  };
  const arriving = (classes: WorkClasses) => flow.arrivingCores(queue.service, classes);
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

/**
 * Whether late work of the class has waited for long. Only then is a job taken to be overtaken by what arrives: the
 * measured arrivals alone come close to the rate in any busy cell, and would make a short backlog a long wait.
 */
function isLateHeldUp(rivals: readonly Rival[], urgency: number, best: number): boolean {
  let onTime = 0;
  let late = 0;
  for (const rival of rivals) {
    if (rival.urgency !== urgency) continue;
    if (rival.rank === best) onTime += rival.coreMs;
    else if (rival.rank > best && rival.rank < best + BEYOND_RANK) {
      if (rival.lateness >= HELD_UP_PART) late += rival.coreMs;
    }
  }
  return late > 0 && late >= MIN_LATE_PART * onTime;
}

/** Free cores on which tasks of the usual size fit. */
function freeCoresFor(
  usual: { readonly processors: number; readonly accelerators: number } | undefined,
  { free }: ServiceRoom,
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
