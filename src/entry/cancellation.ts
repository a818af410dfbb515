/**
 * Cancels a request wherever it is: in a queue of any host or running on any worker. The slot of a
 * running task becomes free only when its worker reports that the task has ended.
 */
import type { Links } from '../links/index.js';
import type { CancellationResult, Outcome } from '../model/index.js';
import type { RequestTable } from '../requests/index.js';
import type { Dispatcher } from './dispatcher.js';
import type { HeldWorkers } from './held-workers.js';
import { requestKeyOf, type JobCoordinator } from './jobs.js';
import type { PeerMessages } from './messages.js';

const CANCEL_TIMEOUT_MS = 2000;

/** The most conclusive result of all hosts counts. */
const RESULTS_BY_CONCLUSIVENESS: readonly CancellationResult[] = [
  'cancelled',
  'stopping',
  'already-ended',
  'not-found',
];

export interface Canceller {
  /** Cancels on this host and on every linked peer. */
  cancel(team: string, id: string): Promise<CancellationResult | Outcome>;
  cancelHere(team: string, id: string): Promise<CancellationResult>;
}

export function createCanceller(options: {
  readonly dispatcher: Dispatcher;
  readonly jobs: JobCoordinator;
  readonly heldWorkers: HeldWorkers;
  readonly table: RequestTable;
  readonly links: Links<PeerMessages>;
  /** Requests that must not be retried, by team and id. */
  readonly cancelled: Set<string>;
}): Canceller {
  const { dispatcher, jobs, heldWorkers, table, links, cancelled } = options;

  async function cancelHere(team: string, id: string): Promise<CancellationResult> {
    if (jobs.cancel(team, id) || dispatcher.cancel(team, id)) return 'cancelled';
    if (await stopTasks(team, id)) return 'stopping';
    const status = table.get(team, id);
    if (status === undefined) return 'not-found';
    return status.state === 'ended' ? 'already-ended' : 'stopping';
  }

  async function stopTasks(team: string, id: string): Promise<boolean> {
    const prefix = `${team}.${id}.`;
    const stops = heldWorkers.all().flatMap((held) =>
      held.ledger
        .running()
        .filter((task) => task.id.startsWith(prefix))
        .map((task) => held.client.stop(task.id, held.epoch)),
    );
    if (stops.length === 0) return false;
    cancelled.add(requestKeyOf({ team, id }));
    const results = await Promise.all(stops);
    return results.some((result) => result.isOk());
  }

  async function cancel(team: string, id: string): Promise<CancellationResult> {
    const elsewhere = links.connectedHosts().map(async (peer) => {
      const reply = await links.request(
        peer,
        'cancel',
        { team, id },
        { timeoutMs: CANCEL_TIMEOUT_MS },
      );
      return reply.unwrapOr('not-found' as const);
    });
    const results = await Promise.all([cancelHere(team, id), ...elsewhere]);
    return RESULTS_BY_CONCLUSIVENESS.find((result) => results.includes(result)) ?? 'not-found';
  }

  return { cancel, cancelHere };
}
