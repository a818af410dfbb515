/**
 * Chooses the entry host whose workers run a request. A host prefers its own workers, then a peer of
 * its data centre with free capacity, then one of another data centre, then the shortest wait.
 */
import type { Heartbeat, LoadSummary, Membership } from '../hosts/index.js';
import { fitsWithin, type Host, type WorkClass, type WorkRequest } from '../model/index.js';
import type { Scheduler } from '../scheduling/index.js';

/** Placement hops after which a request is queued at the host that it has reached. */
const MAX_HOPS = 2;

/** A request crosses to another data centre only if it would wait longer than this here. */
const MIN_CROSS_WAIT_MS = 5;

/** Where a request goes: this host, a peer, or nowhere at present. */
export type Route =
  | { readonly kind: 'local' }
  | { readonly kind: 'peer'; readonly host: string }
  | { readonly kind: 'none' };

export interface Router {
  route(request: WorkRequest, excluded?: ReadonlySet<string>): Route;
  /** Counts a forwarded request against the free slots of the peer until `recordReply`. */
  recordForward(host: string): void;
  recordReply(host: string): void;
}

interface RouterOptions {
  readonly host: Host;
  readonly membership: Membership;
  readonly scheduler: Scheduler;
  readonly connected: () => readonly string[];
  /** Whether this host starts new work; false while it shuts down. */
  readonly accepting: () => boolean;
  /** Tasks that a team may still start here. */
  readonly spare: (team: string) => number;
}

export function createRouter(options: RouterOptions): Router {
  const { host, membership, scheduler } = options;
  const outstanding = new Map<string, number>();

  function route(request: WorkRequest, excluded: ReadonlySet<string> = new Set()): Route {
    const ownLoad = scheduler.load();
    const canQueue = options.accepting() && ownLoad.capacity.processors > 0;
    if (canQueue && hasRoomHere(request)) return { kind: 'local' };
    if (request.hops.length >= MAX_HOPS && canQueue) return { kind: 'local' };
    const peers = candidates(request, excluded);
    const sameDataCentre = peers.filter((heartbeat) => heartbeat.dataCentre === host.dataCentre);
    const otherDataCentres = peers.filter((heartbeat) => heartbeat.dataCentre !== host.dataCentre);
    const peerWithRoom =
      findMostFree(sameDataCentre, request) ??
      (canQueue && ownLoad.waitMs < MIN_CROSS_WAIT_MS && ownLoad.queued.interactive === 0
        ? undefined
        : findMostFree(otherDataCentres, request));
    if (peerWithRoom !== undefined) return { kind: 'peer', host: peerWithRoom.host };
    if (canQueue) return { kind: 'local' };
    const shortest = shortestQueue(sameDataCentre) ?? shortestQueue(otherDataCentres);
    return shortest === undefined ? { kind: 'none' } : { kind: 'peer', host: shortest.host };
  }

  function hasRoomHere(request: WorkRequest): boolean {
    const ownLoad = scheduler.load();
    if (unclaimedSlots(ownLoad, request.class) < 1) return false;
    return fitsWithin(request.size, ownLoad.largestFree) && options.spare(request.team) > 0;
  }

  function candidates(request: WorkRequest, excluded: ReadonlySet<string>): readonly Heartbeat[] {
    const live = new Set(membership.live());
    return options
      .connected()
      .filter((id) => live.has(id) && !excluded.has(id) && !request.hops.includes(id))
      .map((id) => membership.heartbeat(id))
      .filter((heartbeat) => heartbeat !== undefined)
      .filter((heartbeat) => heartbeat.state === 'live' && heartbeat.load.capacity.processors > 0);
  }

  function findMostFree(
    heartbeats: readonly Heartbeat[],
    request: WorkRequest,
  ): Heartbeat | undefined {
    const slotsOf = ({ host: peer, load }: Heartbeat) =>
      unclaimedSlots(load, request.class) - (outstanding.get(peer) ?? 0);
    const fitting = heartbeats.filter(
      (heartbeat) =>
        slotsOf(heartbeat) > 0 &&
        fitsWithin(request.size, heartbeat.load.largestFree) &&
        (heartbeat.load.teams[request.team]?.spare ?? 0) > 0,
    );
    return maxBy(fitting, slotsOf);
  }

  return {
    route,
    recordForward: (id) => outstanding.set(id, (outstanding.get(id) ?? 0) + 1),
    recordReply: (id) => outstanding.set(id, Math.max(0, (outstanding.get(id) ?? 0) - 1)),
  };
}

/**
 * Free slots that no queued request will take. Interactive requests are queued until the end of the turn even if they
 * start at once, so they claim one slot each. Queued requests of other classes wait for room and claim all slots.
 */
function unclaimedSlots({ freeSlots, queued }: LoadSummary, workClass: WorkClass): number {
  if (workClass === 'interactive') return freeSlots - queued.interactive;
  return queued[workClass] > 0 ? 0 : freeSlots;
}

function shortestQueue(heartbeats: readonly Heartbeat[]): Heartbeat | undefined {
  return maxBy(
    heartbeats,
    (heartbeat) => -heartbeat.load.waitMs - heartbeat.load.queued.interactive,
  );
}

function maxBy<T>(items: readonly T[], score: (item: T) => number): T | undefined {
  let best: T | undefined;
  let bestScore = -Infinity;
  for (const item of items) {
    const itemScore = score(item);
    if (itemScore > bestScore) {
      best = item;
      bestScore = itemScore;
    }
  }
  return best;
}
