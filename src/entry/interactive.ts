/**
 * Runs interactive requests: each is routed to a host with free capacity, queued there and answered while
 * the caller waits.
 */
import { setTimeout as delay } from 'node:timers/promises';
import type { Host, Outcome, RefusalReason, WorkRequest } from '../model/index.js';
import type { Dispatcher } from './dispatcher.js';
import { refuseNoCapacity, type RequestForwarder } from './forwarding.js';
import type { Route, Router } from './routing.js';

/** Peers that are tried before the request is refused. */
const MAX_PEERS_TRIED = 4;
/** Two claim steps, in which a released worker gets its next holder. */
const ROUTE_WAIT_MS = 2000;
const ROUTE_POLL_MS = 20;

/** Reasons for a refusal by one host that may not apply to another. */
const LOCAL_REASONS: ReadonlySet<RefusalReason> = new Set([
  'queue-full',
  'no-capacity',
  'shutting-down',
  'worker-refused',
]);

export interface InteractiveRunner {
  /** Runs a request here or on another host. */
  run(request: WorkRequest): Promise<Outcome>;
  /** Sends a request that was queued here to another host. */
  reroute(request: WorkRequest): Promise<Outcome>;
  /** Requests that are queued, running or forwarded. */
  active(): number;
}

export function createInteractiveRunner(options: {
  readonly host: Host;
  readonly router: Router;
  readonly dispatcher: Dispatcher;
  readonly forwarder: RequestForwarder;
  readonly now: () => number;
}): InteractiveRunner {
  const { host, router, dispatcher, forwarder, now } = options;
  let active = 0;

  async function run(request: WorkRequest): Promise<Outcome> {
    const excluded = new Set<string>();
    let refusal = refuseNoCapacity();
    for (let tried = 0; tried < MAX_PEERS_TRIED; tried += 1) {
      const route = await awaitRoute(request, excluded);
      if (route.kind === 'local') return dispatcher.run(request);
      if (route.kind === 'none') return refusal;
      const outcome = await forwardTo(route.host, request);
      if (outcome !== undefined && !isLocalRefusal(outcome)) return outcome;
      refusal = outcome ?? refusal;
      excluded.add(route.host);
    }
    return refusal;
  }

  /** Waits for a route: while workers change their holders, possibly no linked host has any for a moment. */
  async function awaitRoute(request: WorkRequest, excluded: ReadonlySet<string>): Promise<Route> {
    const giveUpAt = Math.min(now() + ROUTE_WAIT_MS, request.startBefore);
    for (;;) {
      const route = router.route(request, excluded);
      if (route.kind !== 'none' || excluded.size > 0 || now() >= giveUpAt) return route;
      await delay(ROUTE_POLL_MS, undefined, { ref: false });
    }
  }

  /** Undefined if the peer certainly did not receive the request. */
  async function forwardTo(peer: string, request: WorkRequest): Promise<Outcome | undefined> {
    router.recordForward(peer);
    const forwarded = await forwarder.forward(peer, {
      stage: 'place',
      request: { ...request, hops: [...request.hops, host.id] },
    });
    router.recordReply(peer);
    if (forwarded.kind === 'not-sent') return undefined;
    if (forwarded.kind === 'outcome') return forwarded.outcome;
    return forwarder.awaitOutcome(forwarded.host, request.team, request.id);
  }

  async function runCounted(request: WorkRequest): Promise<Outcome> {
    active += 1;
    try {
      return await run(request);
    } finally {
      active -= 1;
    }
  }

  return { run: runCounted, reroute: run, active: () => active };
}

function isLocalRefusal(outcome: Outcome): boolean {
  return outcome.kind === 'refused' && LOCAL_REASONS.has(outcome.reason);
}
