/**
 * This host's rows of the operators' tables.
 */
import { match } from 'ts-pattern';
import type { HostRow, QueueRow, WorkerRow } from '../operators/index.js';
import type { HeldWorker } from './held-workers.js';
import type { OperatorTable } from './messages.js';
import type { HostComponents } from './host-components.js';

/** The rows of one table that only this host knows. */
export function collectRows(components: HostComponents, table: OperatorTable): readonly unknown[] {
  return match(table)
    .with('queue', () => collectQueue(components))
    .with('workers', () =>
      components.heldWorkers.all().map((held) => describeWorker(components, held)),
    )
    .with('hosts', () => [describeHost(components)])
    .exhaustive();
}

function collectQueue({ host, scheduler }: HostComponents): readonly QueueRow[] {
  return scheduler.queued().map((row) => ({ host: host.id, dataCentre: host.dataCentre, ...row }));
}

function describeWorker({ host, health, findWorker }: HostComponents, held: HeldWorker): WorkerRow {
  const { worker, ledger, epoch } = held;
  const leaving = held.leaving || findWorker(worker.id)?.state !== 'live';
  return {
    worker: worker.id,
    dataCentre: worker.dataCentre,
    rack: worker.rack,
    holder: host.id,
    epoch,
    state: held.reachable ? (leaving ? 'leaving' : 'live') : 'unreachable',
    health: health.state(worker.id),
    running: ledger.running().length,
    slots: worker.slots,
    free: ledger.free(),
    capacity: worker.capacity,
  };
}

function describeHost(components: HostComponents): HostRow {
  const { host, phase, configuration, heldWorkers } = components;
  const heartbeat = components.describeHeartbeat();
  const queued = Object.values(heartbeat.load.queued).reduce((sum, count) => sum + count, 0);
  return {
    host: host.id,
    dataCentre: host.dataCentre,
    url: host.url,
    state: phase.leaving ? 'leaving' : 'live',
    revision: heartbeat.revision,
    keysCurrent: configuration.keysCurrent(),
    storeReachable: heartbeat.storeReachable,
    storeContactAgeMs: heartbeat.storeContactAgeMs,
    workers: heldWorkers.all().length,
    queued,
    waitMs: heartbeat.load.waitMs,
  };
}
