/**
 * A worker in memory behind a connection that loses answers and holds orders back. It may start again under its id: the
 * next incarnation knows nothing of before, and what was sent to the incarnation before it reaches the new one.
 */
import type {
  EndedTask,
  EndKind,
  OrderOutcome,
  ReportOutcome,
  StartOrder,
  StopOrder,
  LeaseRenewal,
  WorkerConnection,
} from '../../src/fleet/index.js';

/** A worker returns so many ends in one answer. */
const MAX_LISTED_ENDS = 500;
const UNKNOWN = { kind: 'unknown', detail: 'no response' } as const;

interface Incarnation {
  readonly born: number;
  readonly bornAt: number;
  readonly running: Map<string, number>;
  readonly closed: Map<string, number>;
  ended: EndedTask[];
  readonly forgotten: EndedTask[];
  ends: number;
  fencingToken: number;
  acknowledgedThrough: number;
  /** Its clock at `bornAt`, and the end of its lease on that clock. */
  readonly firstClockMs: number;
  leaseUntilMs: number;
}

export interface WorkerFakeOptions {
  /** Time of the first incarnation; 1 by default. */
  readonly born?: number;
  /** Clock of the first incarnation when it is created; those after it begin at 0. */
  readonly clockMs?: number;
  /** Longest lease that it grants; without leases by default, so that runs go on while it is cut off. */
  readonly maxLeaseMs?: number;
}

export interface WorkerFake {
  readonly connection: WorkerConnection;
  readonly born: number;
  /** Runs at work in the present incarnation, by task. */
  readonly running: ReadonlyMap<string, number>;
  /** Stops that have reached the worker. */
  readonly stops: readonly StopOrder[];
  /** Number of stops sent to it. */
  readonly stopsSent: number;
  /** Highest end that a renewal has acknowledged at the present incarnation. */
  readonly acknowledgedThrough: number;
  /** Ends that the present incarnation has dropped because they were acknowledged. */
  readonly forgottenEnds: readonly EndedTask[];
  /** Number of renewals answered. */
  readonly renewals: number;
  /** Decides what happens with each start; `held` keeps the order until `deliverHeld`. */
  handleStart: (order: StartOrder) => 'answered' | 'unanswered' | 'held' | 'not-delivered';
  /** Whether a renewal waits for the end of a run. */
  readonly waiting: boolean;
  /** While set, renewals are held until `deliverHeld`. */
  holdRenewals: boolean;
  /** While set, nothing reaches the worker. */
  cut: boolean;
  /** Time until a start without an answer is given up; 2 by default. */
  startTimeoutMs: number;
  /** Starts again under the same id, by a clock that has advanced by `clockStepMs`, 1 by default. */
  restart(clockStepMs?: number): void;
  end(task: string, how: EndKind): void;
  /** Carries out held renewals, and held starts, all of them by default. */
  deliverHeld(isDue?: (order: StartOrder) => boolean): void;
}

export function createWorkerFake(options: WorkerFakeOptions = {}): WorkerFake {
  const { born = 1, clockMs: firstClockMs = 0, maxLeaseMs = Infinity } = options;
  let incarnation = createIncarnation(born, firstClockMs);
  const stops: StopOrder[] = [];
  let held: StartOrder[] = [];
  const heldRenewals: LeaseRenewal[] = [];
  let waiting = false;
  let renewals = 0;
  let stopsSent = 0;
  let wake: () => void = () => undefined;

  const isCut = () => fake.cut;
  const clockMs = () =>
    Math.round(incarnation.firstClockMs + performance.now() - incarnation.bornAt);
  const isFenced = (token: number) => {
    if (token < incarnation.fencingToken) return true;
    incarnation.fencingToken = token;
    return false;
  };
  const refuse = (reason: 'fenced' | 'stale-run' | 'too-late') =>
    ({ kind: 'refused', reason, clockMs: clockMs() }) as const;

  function extendLease(untilMs: number | undefined) {
    if (untilMs === undefined || maxLeaseMs === Infinity) return;
    const latestMs = Math.min(untilMs, clockMs() + maxLeaseMs);
    incarnation.leaseUntilMs = Math.max(incarnation.leaseUntilMs, latestMs);
    endAfterLease(incarnation);
  }

  /** Ends all runs of the incarnation when its lease has expired. */
  function endAfterLease(holder: Incarnation) {
    if (incarnation !== holder) return;
    const leftMs = holder.leaseUntilMs - clockMs();
    if (leftMs > 0) setTimeout(endAfterLease, leftMs + 1, holder);
    else for (const task of [...holder.running.keys()]) end(task, 'lapsed');
  }

  function execute({ task, run, fencingToken, startBeforeMs }: StartOrder): OrderOutcome {
    if (isFenced(fencingToken)) return refuse('fenced');
    if (maxLeaseMs < Infinity && startBeforeMs < clockMs()) return refuse('too-late');
    extendLease(startBeforeMs);
    if (incarnation.running.get(task) !== run) {
      if (run <= (incarnation.closed.get(task) ?? 0)) return refuse('stale-run');
      incarnation.running.set(task, run);
    }
    return { kind: 'accepted', clockMs: clockMs() };
  }

  function end(task: string, how: EndKind) {
    const run = incarnation.running.get(task);
    if (run === undefined) return;
    incarnation.running.delete(task);
    incarnation.closed.set(task, run);
    incarnation.ends += 1;
    incarnation.ended.push({ sequence: incarnation.ends, task, run, how, checkpoint: '' });
    wake();
  }

  async function start(order: StartOrder): Promise<OrderOutcome> {
    const fate = isCut() ? 'not-delivered' : fake.handleStart(order);
    if (fate === 'held') held.push(order);
    const outcome = fate === 'held' || fate === 'not-delivered' ? UNKNOWN : execute(order);
    await pause(fate === 'answered' ? 2 : fake.startTimeoutMs);
    return fate === 'answered' ? outcome : UNKNOWN;
  }

  async function stop(order: StopOrder): Promise<OrderOutcome> {
    stopsSent += 1;
    await pause(2);
    if (isCut()) return UNKNOWN;
    stops.push(order);
    if (isFenced(order.fencingToken)) return refuse('fenced');
    const run = incarnation.running.get(order.task);
    if (run !== undefined && run <= order.run) setTimeout(end, 10, order.task, 'stopped');
    else incarnation.closed.set(order.task, order.run);
    return { kind: 'accepted', clockMs: clockMs() };
  }

  /** Applies what a renewal says; returns false if it is refused. */
  function take({ fencingToken, acknowledgedThrough, leaseUntilMs }: LeaseRenewal): boolean {
    if (isFenced(fencingToken)) return false;
    extendLease(leaseUntilMs);
    const through = Math.max(incarnation.acknowledgedThrough, acknowledgedThrough);
    incarnation.acknowledgedThrough = through;
    incarnation.forgotten.push(...incarnation.ended.filter(({ sequence }) => sequence <= through));
    incarnation.ended = incarnation.ended.filter(({ sequence }) => sequence > through);
    return true;
  }

  async function renew(renewal: LeaseRenewal): Promise<ReportOutcome> {
    await pause(2);
    if (isCut()) return UNKNOWN;
    if (fake.holdRenewals) {
      heldRenewals.push(renewal);
      await pause(fake.startTimeoutMs);
      return UNKNOWN;
    }
    const answering = incarnation;
    if (!take(renewal)) return refuse('fenced');
    if (incarnation.ended.length === 0 && renewal.waitMs > 0) {
      waiting = true;
      await Promise.race([
        pause(renewal.waitMs),
        new Promise<void>((resolve) => {
          wake = resolve;
        }),
      ]);
      waiting = false;
    }
    if (isCut() || answering !== incarnation) return UNKNOWN;
    renewals += 1;
    return {
      kind: 'report',
      report: {
        born: incarnation.born,
        clockMs: clockMs(),
        running: [...incarnation.running].map(([task, run]) => ({
          task,
          run,
          checkpoint: '',
          percent: 1,
        })),
        ended: incarnation.ended.slice(0, MAX_LISTED_ENDS),
      },
    };
  }

  const fake: WorkerFake = {
    connection: { start, stop, renew, close: () => undefined },
    get born() {
      return incarnation.born;
    },
    get running() {
      return incarnation.running;
    },
    stops,
    get stopsSent() {
      return stopsSent;
    },
    get acknowledgedThrough() {
      return incarnation.acknowledgedThrough;
    },
    get forgottenEnds() {
      return incarnation.forgotten;
    },
    get renewals() {
      return renewals;
    },
    get waiting() {
      return waiting;
    },
    handleStart: () => 'answered',
    cut: false,
    holdRenewals: false,
    startTimeoutMs: 2,
    restart: (clockStepMs = 1) => {
      incarnation = createIncarnation(incarnation.born + clockStepMs, 0);
      wake();
    },
    end,
    deliverHeld: (isDue = () => true) => {
      const due = held.filter(isDue);
      held = held.filter((order) => !due.includes(order));
      for (const renewal of heldRenewals.splice(0)) take(renewal);
      for (const order of due) execute(order);
    },
  };
  return fake;
}

function createIncarnation(born: number, firstClockMs: number): Incarnation {
  const bornAt = performance.now();
  const incarnation = { running: new Map<string, number>(), closed: new Map<string, number>() };
  const counts = { ends: 0, fencingToken: 0, acknowledgedThrough: 0 };
  const lease = { firstClockMs, leaseUntilMs: 0 };
  return { ...incarnation, ...counts, ...lease, born, bornAt, ended: [], forgotten: [] };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
