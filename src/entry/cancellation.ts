/**
 * Cancels a request wherever it is: in a queue of any host or running on any worker. A slot is free
 * again only when its worker reports that the task ended.
 */
import type { Links } from '../links/index.js';
import type { CancellationResult, Outcome } from '../model/index.js';
import type { RequestTable } from '../requests/index.js';
import type { Dispatcher } from './dispatcher.js';
import type { HeldWorkers } from './held-workers.js';
import { requestKeyOf, type JobCoordinator } from './jobs.js';
import type { PeerMessages } from './messages.js';

const CANCEL_TIMEOUT_MS = 2000;

/** Most to least conclusive. */
const RANK: readonly CancellationResult[] = ['cancelled', 'stopping', 'already-ended', 'not-found'];

export interface Canceller {
  /** Cancels on this host and on every linked peer. */
  cancel(team: string, id: string): Promise<CancellationResult | Outcome>;
  cancelHere(team: string, id: string): Promise<CancellationResult>;
}

export function createCanceller(options: {
  readonly dispatcher: Dispatcher;
  readonly jobs: JobCoordinator;
  readonly holdings: HeldWorkers;
  readonly table: RequestTable;
  readonly links: Links<PeerMessages>;
  /** Requests that must not be retried. */
  readonly cancelled: Set<string>;
}): Canceller {
  const { dispatcher, jobs, holdings, table, links, cancelled } = options;

  async function cancelHere(team: string, id: string): Promise<CancellationResult> {
    if (jobs.cancel(team, id) || dispatcher.cancel(team, id)) return 'cancelled';
    if (await stopTasks(team, id)) return 'stopping';
    const status = table.get(team, id);
    if (status === undefined) return 'not-found';
    return status.state === 'ended' ? 'already-ended' : 'stopping';
  }

  async function stopTasks(team: string, id: string): Promise<boolean> {
    const prefix = `${team}.${id}.`;
    const stops = holdings.all().flatMap((held) =>
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
    return RANK.find((rank) => results.includes(rank)) ?? 'not-found';
  }

  return { cancel, cancelHere };
}
