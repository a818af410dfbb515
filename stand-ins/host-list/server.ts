/**
 * HTTP interface of the host list stand-in: returns the fleet that a test has set, after a configurable lag.
 */
import { z } from 'zod';
import { createFaultInjector } from '../faults.js';
import { listen, parseJson, type Listener, type Route } from '../http.js';

export interface HostListOptions {
  readonly address?: string;
  readonly port?: number;
  /** Time until a change of the fleet becomes visible, in milliseconds. */
  readonly lagMs?: number;
}

// Validates only the outer shape; the test chooses the content.
const fleet = z.object({ workers: z.array(z.unknown()), hosts: z.array(z.unknown()) });
const lag = z.object({ lagMs: z.number().nonnegative() });

interface FleetChange {
  readonly at: number;
  readonly fleet: z.infer<typeof fleet>;
}

export async function startHostListServer(options: HostListOptions = {}): Promise<Listener> {
  let lagMs = options.lagMs ?? 0;
  let changes: readonly FleetChange[] = [{ at: 0, fleet: { workers: [], hosts: [] } }];

  function visibleFleet(): FleetChange['fleet'] | undefined {
    const latest = changes.findLastIndex(({ at }) => at + lagMs <= Date.now());
    return changes[Math.max(latest, 0)]?.fleet;
  }

  const hostsRoute: Route = {
    method: 'GET',
    path: '/v1/hosts',
    handle: () => ({ status: 200, body: visibleFleet() }),
  };
  const controlRoutes: readonly Route[] = [
    {
      method: 'PUT',
      path: '/control/fleet',
      handle: (call) => {
        const change = { at: Date.now(), fleet: parseJson(call, fleet) };
        const immediate = call.query.get('immediate') === 'true';
        changes = immediate ? [{ ...change, at: 0 }] : [...changes, change];
        return { status: 200, body: {} };
      },
    },
    {
      method: 'PATCH',
      path: '/control/lag',
      handle: (call) => {
        lagMs = parseJson(call, lag).lagMs;
        return { status: 200, body: { lagMs } };
      },
    },
  ];
  return listen({
    ...options,
    routes: [...controlRoutes, ...createFaultInjector().wrapRoutes([hostsRoute])],
  });
}
