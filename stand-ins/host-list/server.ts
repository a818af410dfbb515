/**
 * The host list stand-in: it delivers the fleet that a test sets after a lag.
 */
import { z } from 'zod';
import { createFaultInjector } from '../faults.js';
import { listen, parseJson, type Listener, type Route } from '../http.js';

export interface HostListOptions {
  readonly address?: string;
  readonly port?: number;
  /** Time until a change of the fleet is delivered, in milliseconds. */
  readonly lagMs?: number;
}

// Only the shape that the list needs; the content is up to the test.
const fleet = z.object({ workers: z.array(z.unknown()), hosts: z.array(z.unknown()) });
const lag = z.object({ lagMs: z.number().nonnegative() });

interface Change {
  readonly at: number;
  readonly fleet: z.infer<typeof fleet>;
}

export async function startHostListServer(options: HostListOptions = {}): Promise<Listener> {
  let lagMs = options.lagMs ?? 0;
  let changes: readonly Change[] = [{ at: 0, fleet: { workers: [], hosts: [] } }];

  function deliver(): Change['fleet'] | undefined {
    const visible = changes.findLastIndex(({ at }) => at + lagMs <= Date.now());
    return changes[Math.max(visible, 0)]?.fleet;
  }

  const service: Route = {
    method: 'GET',
    path: '/v1/hosts',
    handle: () => ({ status: 200, body: deliver() }),
  };
  const control: readonly Route[] = [
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
    routes: [...control, ...createFaultInjector().wrapRoutes([service])],
  });
}
