/**
 * Sends the start orders of placed tasks once their placement is durable. What an order rests on may have changed
 * meanwhile: the leadership, the views of workers and cancellations, the worker itself and the permit. An order that is not
 * allowed any more is withdrawn, and its task waits again.
 */
import type { EventLog } from '../observability/index.js';
import type { CellConfiguration } from '../queues/index.js';
import { termsOf } from './cell.js';
import type { FleetSessions } from './fleet-sessions.js';
import { isLeadershipFresh } from './leadership-freshness.js';
import type { OrderWindow } from './order-window.js';
import type { PermitClient } from './permit-client.js';
import { stepNameOf } from './run.js';
import type { Run } from './run.js';

export interface StartOrders {
  /** Number of starts that were sent. */
  readonly sent: number;
  /** Sends the orders of one job, whose record was written from `writtenAt` (monotonic) on. */
  send(runs: readonly Run[], writtenAt: number): void;
}

export interface StartOrdersOptions {
  readonly sessions: FleetSessions;
  readonly permits: PermitClient;
  readonly configuration: () => CellConfiguration | undefined;
  /** Monotonic milliseconds of the last confirmed renewal of the leader's lease. */
  readonly renewedAt: () => number | undefined;
  readonly orderWindow: OrderWindow;
  /** Age in milliseconds of what this leader knows of the workers. */
  readonly fleetAgeMs: () => number;
  /** Whether no further orders may be sent, before a planned stop. */
  readonly isStopped: () => boolean;
  readonly events: EventLog;
}

export function createStartOrders(options: StartOrdersOptions): StartOrders {
  const { sessions, permits, events } = options;
  let sent = 0;

  /** Sends the start orders of one job, or withdraws them. If any run of a gang is withdrawn, all of them are. */
  function send(runs: readonly Run[], writtenAt: number) {
    const leadershipFresh = isLeadershipFresh({
      nowMs: performance.now(),
      writtenAt,
      renewedAt: options.renewedAt(),
    });
    const viewsFresh = options.orderWindow.remainingMs() > 0;
    const maySend = leadershipFresh && viewsFresh && !options.isStopped();
    const withdrawn = new Set<Run>();
    const tickets = new Map<Run, string | undefined>();
    for (const run of runs) {
      const permitRequired = needsPermit(run);
      const ticket = permitRequired
        ? permits.ticket(stepNameOf(run), run.session.incarnation.id, run.session.incarnation.born)
        : undefined;
      tickets.set(run, ticket);
      // While the record was being written, the worker may have fallen silent, and a successor may have been told so.
      const accepted = maySend && sessions.acceptsWork(run.session) && run.session.reachable;
      const isAllowed = accepted && (!permitRequired || ticket !== undefined);
      if (run.status !== 'logging' || !isAllowed) withdrawn.add(run);
    }
    for (const run of runs) {
      if (!run.step.step.gang || !withdrawn.has(run)) continue;
      for (const other of runs) if (other.step === run.step) withdrawn.add(other);
    }
    for (const run of runs) {
      if (withdrawn.has(run)) {
        events.info('order-withdrawn', {
          job: run.progress.job.id,
          task: run.name,
          run: run.number,
          worker: run.session.incarnation.id,
          status: run.status,
          ticketed: tickets.get(run) !== undefined,
          leadershipFresh,
          viewsFresh,
          acceptsWork: sessions.acceptsWork(run.session),
          reachable: run.session.reachable,
          fleetAgeMs: options.fleetAgeMs(),
          entryRevision: run.session.worker.revision,
        });
        run.session.withdraw(run);
      } else {
        run.progress.begun = true;
        sent += 1;
        run.fleetAgeMs = options.fleetAgeMs();
        run.orderedMs = Math.round(performance.now() - run.startedAt);
        void run.session.start(run, run.progress.job.spec, tickets.get(run));
      }
    }
  }

  function needsPermit(run: Run): boolean {
    const { job } = run.progress;
    const queue = options.configuration()?.queues.find(({ name }) => name === job.queue);
    return termsOf(job, queue).advice !== undefined;
  }

  return {
    get sent() {
      return sent;
    },
    send,
  };
}
