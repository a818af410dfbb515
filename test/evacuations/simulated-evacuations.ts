/**
 * Plays requests, removals, listings, watches, changes of leader and orders on a clock of its own, with the decisions of
 * the leader and without a network. A former leader goes on deciding on what it has read last.
 */
import fc from 'fast-check';
import { createFleetSessions } from '../../src/controller/fleet-sessions.js';
import type { FleetSessions } from '../../src/controller/fleet-sessions.js';
import { createOrderWindow } from '../../src/controller/order-window.js';
import type { OrderWindow } from '../../src/controller/order-window.js';
import type { WorkerSession } from '../../src/controller/worker-session-types.js';
import { createEvacuations } from '../../src/evacuations/index.js';
import type { Evacuations } from '../../src/evacuations/index.js';
import type { FleetWorker } from '../../src/fleet/index.js';
import { SILENT_EVENTS } from '../../src/observability/index.js';
import type { StoreChange } from '../../src/records/index.js';
import { createWorkerEntry } from '../controller/support.js';

const WITHIN_MS = 5000;
const PREFIX = 'op/evacuate/';
const DATA_CENTRES = ['dc1', 'dc2'] as const;
export type DataCentre = (typeof DATA_CENTRES)[number];
/** A worker's clock as the leader estimates it may be off by this much. */
const CLOCK_ERROR_MS = 100;
const START_WINDOW_MS = 2000;

export type Action =
  | { readonly kind: 'request' | 'remove'; readonly dataCentre: DataCentre }
  | { readonly kind: 'list'; readonly delayMs: number }
  | { readonly kind: 'watch'; readonly misses: boolean }
  | { readonly kind: 'take-over' }
  | {
      readonly kind: 'order';
      readonly dataCentre: DataCentre;
      readonly byFormerLeader: boolean;
      /** Time until the record is durable, until the order arrives, and until it is repeated without an answer. */
      readonly durableMs: number;
      readonly travelMs: number;
      readonly repeatMs: number | undefined;
      readonly clockErrorMs: number;
    };

export interface Timed {
  readonly afterMs: number;
  readonly action: Action;
}

const dataCentre = fc.constantFrom(...DATA_CENTRES);
const order = fc.record({
  kind: fc.constant('order' as const),
  dataCentre,
  byFormerLeader: fc.boolean(),
  durableMs: fc.integer({ min: 0, max: 4000 }),
  travelMs: fc.integer({ min: 0, max: 4000 }),
  repeatMs: fc.option(fc.integer({ min: 0, max: 3000 }), { nil: undefined }),
  clockErrorMs: fc.integer({ min: -CLOCK_ERROR_MS, max: CLOCK_ERROR_MS }),
});
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('request' as const), dataCentre }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('remove' as const), dataCentre }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('list' as const),
      delayMs: fc.integer({ min: 0, max: 1000 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('watch' as const), misses: fc.boolean() }),
  },
  { weight: 2, arbitrary: fc.constant({ kind: 'take-over' } as const) },
  { weight: 12, arbitrary: order },
);
/** Drawn sequences of actions. */
export const sequence: fc.Arbitrary<Timed[]> = fc.array(
  fc.record({ afterMs: fc.integer({ min: 0, max: 2500 }), action }),
  { minLength: 1, maxLength: 40 },
);

interface Leader {
  readonly evacuations: Evacuations;
  readonly orders: OrderWindow;
  readonly sessions: FleetSessions;
  confirmedAt: number;
  /** Revision up to which the store's changes are known. */
  position: number;
}

/** Plays one sequence and returns when tasks started and what broke the rule. */
export function createPlay() {
  let now = 0;
  let steps: { readonly at: number; readonly run: () => void }[] = [];
  let revision = 1;
  const stored = new Map<string, number>();
  const changes: StoreChange[] = [];
  /** Acknowledged request of the evacuation in force and of all that have ended, by data centre. */
  const requestedAt = new Map<DataCentre, number>();
  const opened: Leader[] = [];
  const violations: string[] = [];
  /** Times of starts. */
  const starts: number[] = [];

  function at(time: number, run: () => void) {
    steps.push({ at: time, run });
  }

  function advance(untilMs: number) {
    for (;;) {
      const [next] = steps.sort((left, right) => left.at - right.at);
      if (next === undefined || next.at > untilMs) break;
      steps = steps.slice(1);
      now = next.at;
      next.run();
    }
    now = untilMs;
  }

  function openLeader(): Leader {
    const evacuations = createEvacuations({ prefix: PREFIX, now: () => now });
    const sessions = createFleetSessions({
      open: openSession,
      events: SILENT_EVENTS,
      onChange: () => undefined,
      onLeaving: () => undefined,
      isEvacuated: evacuations.isEvacuated,
    });
    const workers = DATA_CENTRES.map((name) =>
      createWorkerEntry(1, { incarnation: { id: name, born: 1 }, dataCentre: name }),
    );
    sessions.replace(new Map(workers.map((worker) => [worker.incarnation.id, worker])), new Set());
    const leader: Leader = {
      evacuations,
      sessions,
      orders: createOrderWindow({
        views: [{ confirmedAt: () => leader.confirmedAt, maxAgeMs: WITHIN_MS }],
        now: () => now,
      }),
      confirmedAt: -Infinity,
      position: 0,
    };
    opened.push(leader);
    return leader;
  }

  function change(name: DataCentre, isRequest: boolean) {
    const key = `${PREFIX}${name}`;
    if (!isRequest && !stored.has(key)) return;
    revision += 1;
    if (isRequest) stored.set(key, revision);
    else stored.delete(key);
    changes.push({ key, value: isRequest ? '{}' : undefined, revision });
    if (!isRequest) requestedAt.delete(name);
    else if (!requestedAt.has(name)) requestedAt.set(name, now);
  }

  /** The store reads at once and the listing is late. */
  function list(leader: Leader, delayMs: number) {
    const sentAt = now;
    const listing = [...stored].map(([key, at]) => ({ key, value: '{}', revision: at }));
    const listedAt = revision;
    at(now + delayMs, () => {
      // As `followPrefix` does with a listing that is older than what it has applied.
      if (listedAt < leader.position) return;
      leader.evacuations.applyListing(listing);
      leader.position = listedAt;
      leader.confirmedAt = Math.max(leader.confirmedAt, sentAt);
    });
  }

  function watch(leader: Leader, misses: boolean) {
    if (misses || leader.confirmedAt === -Infinity) return;
    for (const missed of changes.filter((one) => one.revision > leader.position)) {
      leader.evacuations.applyChange(missed);
      leader.position = missed.revision;
    }
  }

  const sessionIn = (leader: Leader, name: DataCentre) => {
    const session = leader.sessions.find({ id: name, born: 1 });
    if (session === undefined) throw new Error(`no worker in ${name}`);
    return session;
  };

  /** Milliseconds for an order as the controller computes them for a start and for its repeat. */
  const startWindowMs = (leader: Leader, name: DataCentre) =>
    leader.sessions.acceptsWork(sessionIn(leader, name)) ? leader.orders.remainingMs() : 0;

  function send(leader: Leader, drawn: Extract<Action, { kind: 'order' }>) {
    const windowMs = startWindowMs(leader, drawn.dataCentre);
    if (windowMs <= 0) return;
    const startBefore = now + Math.min(START_WINDOW_MS, windowMs) + drawn.clockErrorMs;
    const arrive = (attempt: string) => () => {
      if (now > startBefore) return;
      starts.push(now);
      const since = requestedAt.get(drawn.dataCentre);
      if (since === undefined || now <= since + WITHIN_MS) return;
      violations.push(`${attempt} in ${drawn.dataCentre} ${String(now - since)} ms after request`);
    };
    at(now + drawn.travelMs, arrive('start'));
    if (drawn.repeatMs === undefined) return;
    at(now + drawn.repeatMs, () => {
      if (startWindowMs(leader, drawn.dataCentre) <= 0) return;
      at(now + drawn.travelMs, arrive('repeated start'));
    });
  }

  function place(leader: Leader, drawn: Extract<Action, { kind: 'order' }>) {
    const session = sessionIn(leader, drawn.dataCentre);
    if (!leader.orders.allowsPlacement || !leader.sessions.usable().includes(session)) return;
    at(now + drawn.durableMs, () => {
      send(leader, drawn);
    });
  }

  function perform(drawn: Action) {
    const leader = opened.at(-1);
    if (leader === undefined) throw new Error('no leader');
    if (drawn.kind === 'take-over') openLeader();
    else if (drawn.kind === 'list') list(leader, drawn.delayMs);
    else if (drawn.kind === 'watch') watch(leader, drawn.misses);
    else if (drawn.kind === 'order') {
      place(drawn.byFormerLeader ? (opened.at(-2) ?? leader) : leader, drawn);
    } else change(drawn.dataCentre, drawn.kind === 'request');
  }

  /** Whether the last leader, once it has listed, uses all data centres but the evacuated ones. */
  function checkSettled() {
    const leader = opened.at(-1);
    if (leader === undefined) return;
    list(leader, 0);
    advance(now);
    for (const name of DATA_CENTRES) {
      const isUsed = startWindowMs(leader, name) > 0 && leader.orders.allowsPlacement;
      if (isUsed === requestedAt.has(name)) violations.push(`${name} is used: ${String(isUsed)}`);
    }
  }

  return {
    play: (timed: readonly Timed[]) => {
      openLeader();
      for (const { afterMs, action: drawn } of timed) {
        advance(now + afterMs);
        perform(drawn);
      }
      advance(now + 2 * WITHIN_MS);
      checkSettled();
      for (const { sessions } of opened) sessions.close();
      return { violations, starts };
    },
  };
}

function openSession(worker: FleetWorker): WorkerSession {
  const session = {
    incarnation: worker.incarnation,
    worker,
    update: () => undefined,
    runs: new Map(),
    reachable: true,
    ended: false,
    setConfirmation: () => undefined,
    close: () => undefined,
  };
  return session as unknown as WorkerSession;
}
