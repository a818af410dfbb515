/**
 * The parts of an entry host, created in the order in which they need each other.
 */
import type { Heartbeat } from '../hosts/index.js';
import type { Worker } from '../model/index.js';
import type { Scheduler } from '../scheduling/index.js';
import { createWorkerClient } from '../workers/index.js';
import {
  createExecutionComponents,
  findWorker,
  type ExecutionComponents,
} from './execution-components.js';
import type { HostContext } from './host-context.js';
import { createRequestComponents, type RequestComponents } from './request-components.js';

export interface HostComponents extends HostContext, ExecutionComponents, RequestComponents {
  readonly findWorker: (id: string) => Worker | undefined;
  /** Renews the leases on a worker that this host does not hold. */
  readonly renewLeases: (worker: Worker, epoch: number) => Promise<void>;
  readonly describeHeartbeat: () => Heartbeat;
  readonly sendHeartbeats: () => void;
}

export function createHostComponents(foundation: HostContext): HostComponents {
  const execution = createExecutionComponents(foundation);
  const requests = createRequestComponents(foundation, execution);
  const describeHeartbeat = () => createHeartbeat(foundation, execution.scheduler);
  return {
    ...foundation,
    ...execution,
    ...requests,
    findWorker: (id) => findWorker(foundation, id),
    renewLeases: async (worker, epoch) => {
      const client = createWorkerClient({ worker, connections: 1 });
      await client.renew(epoch, foundation.settings.timers.leaseMs);
      await client.close();
    },
    describeHeartbeat,
    sendHeartbeats: () => {
      const beat = describeHeartbeat();
      for (const peer of foundation.links.connectedHosts()) {
        foundation.links.notify(peer, 'heartbeat', beat);
      }
    },
  };
}

function createHeartbeat(foundation: HostContext, scheduler: Scheduler): Heartbeat {
  const { host, bootId, phase, configuration } = foundation;
  return {
    host: host.id,
    dataCentre: host.dataCentre,
    bootId,
    state: phase.leaving ? 'leaving' : 'live',
    revision: configuration.current()?.revision ?? 0,
    storeContactAgeMs: configuration.storeContactAgeMs(),
    storeReachable: configuration.storeReachable(),
    load: scheduler.load(),
  };
}
