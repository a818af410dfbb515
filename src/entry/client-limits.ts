/**
 * Limits for the clients of both ports of an entry host, from its settings.
 */
import { createClientGuard, deriveClientLimits } from '../client-limits/index.js';
import type { ClientGuard } from '../client-limits/index.js';
import { createLog } from '../log/index.js';
import type { Metrics } from '../metrics/index.js';
import type { Settings } from '../settings/index.js';

/** Name of the listener for callers and operators in logs and metrics. */
export const CALLERS = 'callers';

/** Creates the limits; `metrics` is asked at each sample, because it is created after the first listener. */
export function createEntryGuard(
  settings: Settings,
  metrics: () => Metrics | undefined,
): ClientGuard {
  const { limits, host } = settings;
  const log = createLog('limits', settings.log);
  return createClientGuard({
    limits: deriveClientLimits(
      { memoryMb: undefined, maxDescriptors: undefined },
      {
        ...limits,
        firstMessageTimeoutMs: limits.headerTimeoutMs,
        // Links have proved that they know the secret of the cell, so their number is not limited.
        peerLinks: Infinity,
      },
    ),
    configured: () => limits,
    observer: {
      count: (listener, cause) => {
        metrics()?.count('clients.limited', 1, { listener, cause });
      },
      write: (report) => {
        log.warn('Refused requests or closed connections of clients.', { ...report });
      },
      recordConnections: (listener, connections) => {
        metrics()?.gauge('clients.connections', connections, { listener, host: host.id });
      },
      recordBufferBytes: (bytes) => {
        metrics()?.gauge('clients.buffer_bytes', bytes, { host: host.id });
      },
    },
  });
}
