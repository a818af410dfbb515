/**
 * All components of an entry host, created in the order of their dependencies.
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

export function createHostComponents(context: HostContext): HostComponents {
  const execution = createExecutionComponents(context);
  const requests = createRequestComponents(context, execution);
  const describeHeartbeat = () => createHeartbeat(context, execution.scheduler);
  return {
    ...context,
    ...execution,
    ...requests,
    findWorker: (id) => findWorker(context, id),
    renewLeases: async (worker, epoch) => {
      const client = createWorkerClient({ worker, connections: 1 });
      await client.renew(epoch, context.settings.timers.leaseMs);
      await client.close();
    },
    describeHeartbeat,
    sendHeartbeats: () => {
      const heartbeat = describeHeartbeat();
      for (const peer of context.links.connectedHosts()) {
        context.links.notify(peer, 'heartbeat', heartbeat);
      }
    },
  };
}

function createHeartbeat(context: HostContext, scheduler: Scheduler): Heartbeat {
  const { host, bootId, phase, configuration } = context;
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
