/**
 * Faults that the key-value service and the host list share: outages for everybody or for chosen
 * data centres, and slow answers.
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

/** Names the data centre of the caller, so that a test can cut one off. */
export const DATA_CENTRE_HEADER = 'sapphirewing-data-centre';

/**
 * How an outage looks to a caller: `error` answers 503, `reset` breaks the connection and `hang`
 * never answers. None of them lets a call take effect.
 */
const fault = z.enum(['none', 'error', 'reset', 'hang']);

export type Fault = z.infer<typeof fault>;

const faults = z.object({
  outage: fault,
  delayMs: z.number().nonnegative(),
  /** Applies writes and then breaks the connection instead of answering. */
  loseAnswers: z.boolean(),
  /** Faults by data centre of the caller. */
  cut: z.record(z.string(), fault),
});

export type Faults = z.infer<typeof faults>;

/** Decides for every call of the service whether it is served, and counts it. */
export interface FaultInjector {
  faults(): Faults;
  /** Undefined if the call is to be served. */
  intercept(call: Call): Promise<HandlerResult | undefined>;
  /** Checks again after a long wait. */
  check(call: Call): HandlerResult | undefined;
  /** Wraps the routes of the service and adds the control routes. */
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

  function guardRoute(route: Route): Route {
    const operation = `${route.method} ${route.path}`;
    const handle = async (call: Call) => {
      total += 1;
      byOperation[operation] = (byOperation[operation] ?? 0) + 1;
      return (await intercept(call)) ?? route.handle(call);
    };
    return { ...route, handle };
  }

  const control: readonly Route[] = [
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
    wrapRoutes: (routes) => [...control, ...routes.map(guardRoute)],
  };
}

function applyFault(call: Call, kind: Fault): HandlerResult | undefined {
  if (kind === 'none') return undefined;
  if (kind === 'hang') return HANDLED;
  if (kind === 'reset') return dropConnection(call);
  return { status: 503, body: { error: 'the service is down' } };
}
