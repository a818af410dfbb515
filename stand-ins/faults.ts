/**
 * Fault injection for the stand-ins of the platform's services: outages for all callers or for those
 * of one data centre, delays and lost responses.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { z } from 'zod';
import {
  HANDLED,
  dropConnection,
  parseJson,
  type HandlerResult,
  type Call,
  type Route,
} from './http.js';

/** Request header with the caller's data centre, so that a test can cut off a single one. */
export const DATA_CENTRE_HEADER = 'sapphirewing-data-centre';

/**
 * How an outage appears to a caller: `error` responds with 503, `reset` destroys the connection and
 * `hang` never responds. In all cases the call has no effect.
 */
const fault = z.enum(['none', 'error', 'reset', 'hang']);

export type Fault = z.infer<typeof fault>;

const faults = z.object({
  outage: fault,
  delayMs: z.number().nonnegative(),
  /** Applies writes, then destroys the connection instead of responding. */
  loseAnswers: z.boolean(),
  /** Faults by the caller's data centre. */
  cut: z.record(z.string(), fault),
});

export type Faults = z.infer<typeof faults>;

/** Counts the calls of a service and applies the current faults to them. */
export interface FaultInjector {
  faults(): Faults;
  /** Waits for the configured delay, then checks the call as `check` does. */
  intercept(call: Call): Promise<HandlerResult | undefined>;
  /**
   * Applies the current outage or cut to the call, also after a long poll. Undefined if neither
   * affects it.
   */
  check(call: Call): HandlerResult | undefined;
  /** Adds fault injection to the routes of the service, and adds the control routes. */
  wrapRoutes(routes: readonly Route[]): readonly Route[];
}

export function createFaultInjector(): FaultInjector {
  let current: Faults = { outage: 'none', delayMs: 0, loseAnswers: false, cut: {} };
  let total = 0;
  const byOperation: Record<string, number> = {};

  function check(call: Call): HandlerResult | undefined {
    const dataCentre = call.headers[DATA_CENTRE_HEADER];
    const cut = typeof dataCentre === 'string' ? current.cut[dataCentre] : undefined;
    return applyFault(call, current.outage) ?? applyFault(call, cut ?? 'none');
  }

  async function intercept(call: Call): Promise<HandlerResult | undefined> {
    if (current.delayMs > 0) await delay(current.delayMs);
    return check(call);
  }

  function wrapRoute(route: Route): Route {
    const operation = `${route.method} ${route.path}`;
    const handle = async (call: Call) => {
      total += 1;
      byOperation[operation] = (byOperation[operation] ?? 0) + 1;
      return (await intercept(call)) ?? route.handle(call);
    };
    return { ...route, handle };
  }

  const controlRoutes: readonly Route[] = [
    {
      method: 'PATCH',
      path: '/control/faults',
      handle: (call) => {
        current = { ...current, ...parseJson(call, faults.partial()) } as Faults;
        return { status: 200, body: current };
      },
    },
    {
      method: 'GET',
      path: '/control/calls',
      handle: () => ({ status: 200, body: { total, byOperation } }),
    },
  ];

  return {
    faults: () => current,
    intercept,
    check,
    wrapRoutes: (routes) => [...controlRoutes, ...routes.map(wrapRoute)],
  };
}

function applyFault(call: Call, kind: Fault): HandlerResult | undefined {
  if (kind === 'none') return undefined;
  if (kind === 'hang') return HANDLED;
  if (kind === 'reset') return dropConnection(call);
  return { status: 503, body: { error: 'the service is down' } };
}
