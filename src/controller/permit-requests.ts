/**
 * Decides for which waiting steps the advice service is asked, and which tickets are renewed before they are needed.
 *
 * Tickets expire after seconds, and renewing those of a long backlog would take the advice service all its time. So
 * only the first steps of each queue get renewals, and a step counts among them only by what keeps it waiting: one that
 * could start at once with a valid ticket, one that waits for room, and one that waits for its team's limit take places
 * of their own, and one that no worker could ever run takes none. Otherwise steps that cannot start would keep those
 * behind them from starting.
 */
import { ROUNDING_TOLERANCE } from '../model/index.js';
import type { Resources } from '../model/index.js';
import type { PlacementBarrier, WaitingStep } from '../planner/index.js';
import { countAtLeast } from '../planner/index.js';
import type { AdviceTiming, Queue } from '../queues/index.js';
import type { PermitRequest } from './permit-client.js';
import type { WorkerSession } from './worker-session-types.js';

/** Steps of each queue whose tickets are renewed, both of those that lack only a ticket and of those that lack room. */
const RENEWED_STEPS = 6;
/** The same of the steps that wait for their team's limit, for each queue and team. */
const RENEWED_LIMITED_STEPS = 2;
/** Number of steps at the head of each queue for which additional queries are made; those behind start after them. */
const ADDITIONAL_QUERY_STEPS = 24;
/** One in so many of the other steps gets them too, so that none depends on those ahead of it. */
const ADDITIONAL_QUERY_STRIDE = 8;

export interface PermitRequestsOptions {
  /** The waiting steps in the order in which they get workers. */
  readonly steps: readonly WaitingStep[];
  /** What kept steps from being placed in this round; steps that it did not get to are missing. */
  readonly barriers: ReadonlyMap<string, PlacementBarrier>;
  /** Queue of the step's job; undefined if the step does not wait any more. */
  readonly queueOf: (step: WaitingStep) => Pick<Queue, 'name' | 'advice'> | undefined;
  /** Number of tasks of the step that still wait after this round. */
  readonly tasksOf: (step: WaitingStep) => number;
  readonly workersOf: WorkerLookup;
  /** Number of the round. */
  readonly round: number;
}

/** What of a session matters for a query. */
export type PermitWorker = Pick<WorkerSession, 'incarnation' | 'worker' | 'used'>;

/** Requests permits for the waiting steps, and renewals for the first of those that can use them. */
export function describePermitRequests(options: PermitRequestsOptions): PermitRequest[] {
  const { steps, barriers, queueOf, tasksOf, workersOf, round } = options;
  const nextPosition = createCounter();
  const nextRenewal = createCounter();
  const requests: PermitRequest[] = [];
  for (const step of steps) {
    const queue = queueOf(step);
    const barrier = barriers.get(step.key);
    // Steps without waiting tasks need no further permits.
    if (queue?.advice === undefined || barrier === 'pool' || tasksOf(step) === 0) continue;
    const position = nextPosition(queue.name);
    const { born, freeProcessors } = workersOf(step);
    requests.push({
      step: step.key,
      timing: queue.advice,
      tasks: tasksOf(step),
      workers: born,
      withRoom: countAtLeast(freeProcessors, step.size.processors - ROUNDING_TOLERANCE),
      renew: isRenewed(step, queue.name, barrier, nextRenewal),
      additional:
        position < ADDITIONAL_QUERY_STEPS || (position + round) % ADDITIONAL_QUERY_STRIDE === 0,
    });
  }
  return requests;
}

/** A step that no round has seen yet. */
export interface NewStep {
  readonly key: string;
  readonly tasks: number;
  readonly size: Resources;
  readonly timing: AdviceTiming;
  readonly workers: EligibleWorkers;
}

/** Requests the first permits of a step. */
export function describeFirstRequest({
  key,
  tasks,
  size,
  timing,
  workers,
}: NewStep): PermitRequest {
  return {
    step: key,
    timing,
    tasks,
    workers: workers.born,
    withRoom: countAtLeast(workers.freeProcessors, size.processors - ROUNDING_TOLERANCE),
    renew: false,
    additional: false,
  };
}

function isRenewed(
  { team }: WaitingStep,
  queue: string,
  barrier: PlacementBarrier = 'room',
  nextRenewal: (list: string) => number,
): boolean {
  return barrier === 'limit'
    ? nextRenewal(`limit ${queue} ${team}`) < RENEWED_LIMITED_STEPS
    : nextRenewal(`${barrier} ${queue}`) < RENEWED_STEPS;
}

/** Returns a function that counts the calls with each name, from 0. */
function createCounter(): (name: string) => number {
  const counts = new Map<string, number>();
  return (name) => {
    const count = counts.get(name) ?? 0;
    counts.set(name, count + 1);
    return count;
  };
}

/** Workers that are eligible for a step, those with the most free processors first. */
export interface EligibleWorkers {
  /** Start of each worker's incarnation, by the worker's id. */
  readonly born: ReadonlyMap<string, number>;
  /** Free processors of each worker, in the same order. */
  readonly freeProcessors: readonly number[];
}

/** Maps a step to its eligible workers. */
export type WorkerLookup = (
  step: Pick<WaitingStep, 'service' | 'requiredLabel'>,
) => EligibleWorkers;

/** Sorts the workers when the first step asks for them; steps with the same service and label share a result. */
export function createWorkerLookup(sessions: () => readonly PermitWorker[]): WorkerLookup {
  let byFreeProcessors: readonly { session: PermitWorker; free: number }[] | undefined;
  const lists = new Map<string, EligibleWorkers>();
  return ({ service, requiredLabel }) => {
    const key = `${service} ${requiredLabel ?? ''}`;
    const known = lists.get(key);
    if (known !== undefined) return known;
    byFreeProcessors ??= sessions()
      .map((session) => ({
        session,
        free: session.worker.room.processors - session.used.processors,
      }))
      .sort((left, right) => right.free - left.free);
    const eligible = byFreeProcessors.filter(
      ({ session: { worker } }) =>
        worker.service === service &&
        (requiredLabel === undefined || worker.labels.includes(requiredLabel)),
    );
    const list = {
      born: new Map(
        eligible.map(({ session: { incarnation } }) => [incarnation.id, incarnation.born]),
      ),
      freeProcessors: eligible.map(({ free }) => free),
    };
    lists.set(key, list);
    return list;
  };
}
