/**
 * This host's rows of the operators' tables.
 */
import { match } from 'ts-pattern';
import type { HostRow, QueueRow, WorkerRow } from '../operators/index.js';
import type { HeldWorker } from './held-workers.js';
import type { OperatorTable } from './messages.js';
import type { HostComponents } from './host-components.js';

/** The rows that only this host knows. */
export function collectRows(parts: HostComponents, table: OperatorTable): readonly unknown[] {
  return match(table)
    .with('queue', () => collectQueue(parts))
    .with('workers', () => parts.heldWorkers.all().map((held) => describeWorker(parts, held)))
    .with('hosts', () => [describeHost(parts)])
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

function describeHost(parts: HostComponents): HostRow {
  const { host, phase, configuration, heldWorkers } = parts;
  const beat = parts.describeHeartbeat();
  const queued = Object.values(beat.load.queued).reduce((sum, count) => sum + count, 0);
  return {
    host: host.id,
    dataCentre: host.dataCentre,
    url: host.url,
    state: phase.leaving ? 'leaving' : 'live',
    revision: beat.revision,
    keysCurrent: configuration.keysCurrent(),
    storeReachable: beat.storeReachable,
    storeContactAgeMs: beat.storeContactAgeMs,
    workers: heldWorkers.all().length,
    queued,
    waitMs: beat.load.waitMs,
  };
}
