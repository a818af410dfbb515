/**
 * A worker in memory behind a connection that loses answers and holds orders back. It may start again under its id: the
 * next life knows nothing of before, and what was sent to the life before it reaches the new one.
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

interface Life {
  readonly born: number;
  readonly bornAt: number;
  readonly running: Map<string, number>;
  readonly closed: Map<string, number>;
  ended: EndedTask[];
  ends: number;
  epoch: number;
  acknowledgedThrough: number;
}

export interface WorkerFake {
  readonly connection: WorkerConnection;
  readonly born: number;
  /** Runs at work in the present life, by task. */
  readonly running: ReadonlyMap<string, number>;
  /** Stops that have reached the worker. */
  readonly stops: readonly StopOrder[];
  /** Number of stops sent to it. */
  readonly stopsSent: number;
  /** Highest end that a renewal has acknowledged at the present life. */
  readonly acknowledgedThrough: number;
  /** Number of renewals answered. */
  readonly renewals: number;
  /** Decides what happens with each start; `held` keeps the order until `deliverHeld`. */
  handleStart: (order: StartOrder) => 'answered' | 'unanswered' | 'held' | 'not-delivered';
  /** Whether a renewal waits for the end of a run. */
  readonly waiting: boolean;
  /** While set, nothing reaches the worker. */
  cut: boolean;
  /** Starts again under the same id. */
  restart(): void;
  end(task: string, how: EndKind): void;
  deliverHeld(): void;
}

export function createWorkerFake(): WorkerFake {
  let life = createLife(1);
  const stops: StopOrder[] = [];
  let held: StartOrder[] = [];
  let waiting = false;
  let renewals = 0;
  let stopsSent = 0;
  let wake: () => void = () => undefined;

  const isCut = () => fake.cut;
  const clockMs = () => Math.round(performance.now() - life.bornAt);
  const isStale = (epoch: number) => {
    if (epoch < life.epoch) return true;
    life.epoch = epoch;
    return false;
  };
  const refuse = (reason: 'stale-epoch' | 'stale-run') =>
    ({ kind: 'refused', reason, clockMs: clockMs() }) as const;

  function execute({ task, run, epoch }: StartOrder): OrderOutcome {
    if (isStale(epoch)) return refuse('stale-epoch');
    if (life.running.get(task) !== run) {
      if (run <= (life.closed.get(task) ?? 0)) return refuse('stale-run');
      life.running.set(task, run);
    }
    return { kind: 'accepted', clockMs: clockMs() };
  }

  function end(task: string, how: EndKind) {
    const run = life.running.get(task);
    if (run === undefined) return;
    life.running.delete(task);
    life.closed.set(task, run);
    life.ends += 1;
    life.ended.push({ sequence: life.ends, task, run, how, checkpoint: '' });
    wake();
  }

  async function start(order: StartOrder): Promise<OrderOutcome> {
    const fate = isCut() ? 'not-delivered' : fake.handleStart(order);
    if (fate === 'held') held.push(order);
    const outcome = fate === 'held' || fate === 'not-delivered' ? UNKNOWN : execute(order);
    await pause(2);
    return fate === 'answered' ? outcome : UNKNOWN;
  }

  async function stop(order: StopOrder): Promise<OrderOutcome> {
    stopsSent += 1;
    await pause(2);
    if (isCut()) return UNKNOWN;
    stops.push(order);
    if (isStale(order.epoch)) return refuse('stale-epoch');
    const run = life.running.get(order.task);
    if (run !== undefined && run <= order.run) setTimeout(end, 10, order.task, 'stopped');
    else life.closed.set(order.task, order.run);
    return { kind: 'accepted', clockMs: clockMs() };
  }

  async function renew(renewal: LeaseRenewal): Promise<ReportOutcome> {
    await pause(2);
    if (isCut()) return UNKNOWN;
    const answering = life;
    if (isStale(renewal.epoch)) return refuse('stale-epoch');
    const through = Math.max(life.acknowledgedThrough, renewal.acknowledgedThrough);
    life.acknowledgedThrough = through;
    life.ended = life.ended.filter(({ sequence }) => sequence > through);
    if (life.ended.length === 0 && renewal.waitMs > 0) {
      waiting = true;
      await Promise.race([
        pause(renewal.waitMs),
        new Promise<void>((resolve) => {
          wake = resolve;
        }),
      ]);
      waiting = false;
    }
    if (isCut() || answering !== life) return UNKNOWN;
    renewals += 1;
    return {
      kind: 'report',
      report: {
        born: life.born,
        clockMs: clockMs(),
        running: [...life.running].map(([task, run]) => ({
          task,
          run,
          checkpoint: '',
          percent: 1,
        })),
        ended: life.ended.slice(0, MAX_LISTED_ENDS),
      },
    };
  }

  const fake: WorkerFake = {
    connection: { start, stop, renew, close: () => undefined },
    get born() {
      return life.born;
    },
    get running() {
      return life.running;
    },
    stops,
    get stopsSent() {
      return stopsSent;
    },
    get acknowledgedThrough() {
      return life.acknowledgedThrough;
    },
    get renewals() {
      return renewals;
    },
    get waiting() {
      return waiting;
    },
    handleStart: () => 'answered',
    cut: false,
    restart: () => {
      life = createLife(life.born + 1);
      wake();
    },
    end,
    deliverHeld: () => {
      for (const order of held) execute(order);
      held = [];
    },
  };
  return fake;
}

function createLife(born: number): Life {
  const bornAt = performance.now();
  const life = { running: new Map<string, number>(), closed: new Map<string, number>() };
  return { ...life, born, bornAt, ended: [], ends: 0, epoch: 0, acknowledgedThrough: 0 };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
